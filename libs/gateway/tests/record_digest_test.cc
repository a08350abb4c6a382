#include "batch/record_digest.h"

#include <catch2/catch.hpp>

#include "batch/job_records.h"

namespace knapweedstile::gateway {
namespace {

StoreNews MakeNews() {
  return {.kind = kOwnKind,
          .after = 5,
          .as_of = 9,
          .objects = {
              {.name = JobName("a"), .version = 6, .value = "job"},
              {.name = SegmentName("a", 0), .version = 7, .value = "results"},
              {.name = NodeName("entry-2"), .version = 8, .value = "address"},
              {.name = EndName("a"), .version = 9, .value = "{}"}}};
}

}  // namespace

TEST_CASE("a digest names jobs and results and holds the rest") {
  const StoreNews digest = DigestOf(MakeNews());
  CHECK(digest.after == 5);
  CHECK(digest.as_of == 9);
  REQUIRE(digest.objects.size() == 4);
  CHECK(digest.objects[0].value.empty());
  CHECK(digest.objects[1].value.empty());
  CHECK(digest.objects[2].value == "address");
}

// The writer of a result was killed between its write and its push. An entry
// that took the digest for all that there is would tell a reader that there is
// nothing new, though others have shown the result.
TEST_CASE("a digest that names an unknown record must be read") {
  serving::JobBook book;
  const StoreNews digest = DigestOf(MakeNews());
  CHECK_FALSE(KnowsAll(book, digest));
  serving::BatchJob job;
  job.id = "a";
  job.items.push_back({.id = "a0"});
  book.AddJob(std::move(job));
  CHECK_FALSE(KnowsAll(book, digest));
  book.AddSegment("a", 0, {{.item = "a0"}});
  CHECK(KnowsAll(book, digest));
}

TEST_CASE("records that were deleted need not be known") {
  serving::JobBook book;
  StoreNews digest{.kind = kOwnKind};
  digest.objects.push_back({.name = JobName("a"), .deleted = true});
  CHECK(KnowsAll(book, digest));
}

}  // namespace knapweedstile::gateway
