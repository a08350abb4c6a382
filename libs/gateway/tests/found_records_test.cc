#include "peers/found_records.h"

#include <catch2/catch.hpp>

namespace knapweedstile::gateway {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1000)};
// A result that was read at one gateway is read at all others within this time,
// of which a push and a read of the store after a lost push need half.
constexpr milliseconds kSettle{1000};

}  // namespace

// Guards against a record of a writer that has terminated: nobody else pushes
// it.
TEST_CASE("a record that nobody pushes is pushed by its finder, once") {
  FoundRecords found;
  found.OnFound({"segment.job-a.0", "value"}, kStart);
  CHECK(found.TakeDue(kStart).empty());
  const auto due = found.TakeDue(kStart + kSettle / 2);
  REQUIRE(due.size() == 1);
  CHECK(due.front().name == "segment.job-a.0");
  CHECK(due.front().value == "value");
  CHECK(found.TakeDue(kStart + kSettle).empty());
}

// Guards against double traffic for records whose push is on the way.
TEST_CASE("a record that its writer pushes is not pushed by its finder") {
  FoundRecords found;
  found.OnFound({"segment.job-a.0", "value"}, kStart);
  found.OnPushed("segment.job-a.0");
  CHECK(found.TakeDue(kStart + kSettle).empty());
}

// Guards against a burst at a gateway that can't hear a writer.
TEST_CASE("a finder pushes a bounded number of records") {
  FoundRecords found;
  constexpr size_t kMany = 1000;
  for (size_t i = 0; i < kMany; ++i)
    found.OnFound({"job.job-" + std::to_string(i), "value"}, kStart);
  const size_t due = found.TakeDue(kStart + kSettle).size();
  CHECK(due > 0);
  CHECK(due < kMany / 10);
}

}  // namespace knapweedstile::gateway
