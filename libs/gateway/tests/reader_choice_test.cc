#include "peers/reader_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace knapweedstile::gateway {

TEST_CASE("all who see the same entries choose the same readers") {
  const auto readers = ChooseReaders({"a", "b", "c", "d"});
  CHECK(readers.size() == kReadersPerCell);
  CHECK(readers == ChooseReaders({"d", "b", "a", "c"}));
}

// A reader stalls or is cut off. Whoever followed the store beside it goes on.
TEST_CASE("the loss of a reader leaves the other one where it is") {
  const std::vector<std::string> entries = {"a", "b", "c", "d"};
  const auto readers = ChooseReaders(entries);
  std::vector<std::string> rest = entries;
  std::erase(rest, readers[0]);
  CHECK(ChooseReaders(rest)[0] == readers[1]);
}

TEST_CASE("an entry that hears nobody reads for itself") {
  CHECK(ChooseReaders({"a"}) == std::vector<std::string>{"a"});
  CHECK(ChooseReaders({}).empty());
}

}  // namespace knapweedstile::gateway
