#include "store/list_cursor.h"

#include <catch2/catch.hpp>

namespace knapweedstile::gateway {
namespace {

std::vector<platform::StoredObject> PageOf(
    const std::vector<std::string>& names) {
  std::vector<platform::StoredObject> page;
  page.reserve(names.size());
  for (const std::string& name : names) page.push_back({.name = name});
  return page;
}

}  // namespace

TEST_CASE("a list is complete after its last page") {
  ListCursor cursor;
  cursor.Begin();
  CHECK(cursor.after().empty());
  cursor.AddPage(PageOf({"a", "b"}), true);
  CHECK_FALSE(cursor.complete());
  CHECK(cursor.after() == "b");
  cursor.AddChange({.name = "a", .deleted = true});
  cursor.AddChange({.name = "e"});
  cursor.AddPage(PageOf({"c"}), false);
  CHECK(cursor.complete());
  CHECK(cursor.names() == std::set<std::string>{"b", "c", "e"});
  // The next list begins with the first page.
  cursor.Begin();
  CHECK(cursor.after().empty());
  CHECK_FALSE(cursor.complete());
  cursor.AddPage({}, false);
  CHECK(cursor.complete());
  CHECK(cursor.names().empty());
}

// Guards against a list that never completes because each interruption lets it
// begin at its first page.
TEST_CASE("a list that is begun anew goes on where it was interrupted") {
  ListCursor cursor;
  cursor.Begin();
  cursor.AddPage(PageOf({"a", "b"}), true);
  cursor.Begin();
  CHECK(cursor.after() == "b");
  cursor.AddPage(PageOf({"c", "d"}), true);
  // Again, now without a page since.
  cursor.Begin();
  cursor.Begin();
  CHECK(cursor.after() == "d");
  cursor.AddPage(PageOf({"e"}), false);
  CHECK_FALSE(cursor.complete());
  CHECK(cursor.after().empty());
  cursor.AddPage(PageOf({"a", "b"}), true);
  CHECK_FALSE(cursor.complete());
  cursor.AddPage(PageOf({"c", "d"}), true);
  CHECK(cursor.complete());
  CHECK(cursor.names() == std::set<std::string>{"a", "b", "c", "d", "e"});
}

// Guards against a list without end after the objects at its first position
// have been deleted.
TEST_CASE("a list is complete if the objects where it began were deleted") {
  ListCursor cursor;
  cursor.Begin();
  cursor.AddPage(PageOf({"a", "m"}), true);
  cursor.Begin();
  cursor.AddPage({}, false);
  CHECK_FALSE(cursor.complete());
  SECTION("all before it are on one page") {
    cursor.AddPage(PageOf({"a", "c"}), false);
  }
  SECTION("a page ends beyond it") { cursor.AddPage(PageOf({"a", "z"}), true); }
  CHECK(cursor.complete());
}

}  // namespace knapweedstile::gateway
