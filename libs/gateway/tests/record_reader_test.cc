#include "batch/record_reader.h"

#include <catch2/catch.hpp>

#include "batch/large_result_index.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {
namespace {

using std::chrono::seconds;

constexpr TimePoint kListBegan{seconds(1000)};

struct Fixture {
  serving::JobTable jobs;
  LargeResultIndex large_results;
  RecordReader reader{
      jobs, large_results, {.job_updated = [](const std::string&) {}}};

  void AddJob(const std::string& id, TimePoint received_at) {
    serving::BatchJob job;
    job.id = id;
    job.received_at = received_at;
    jobs.AddJob(std::move(job));
  }
  size_t RemoveDeletedJobs(const std::set<std::string>& names) {
    return reader.RemoveDeletedJobs(
        names, kListBegan,
        [](const std::string& job) { return !job.starts_with("other"); });
  }
};

}  // namespace

// Guards against the loss of an accepted job that a list of the store lacks
// because it was accepted, or pushed by a peer, after the list began.
TEST_CASE("only jobs from before a list are removed if it lacks them") {
  Fixture fixture;
  fixture.AddJob("deleted", kListBegan - seconds(1));
  fixture.AddJob("listed", kListBegan - seconds(1));
  fixture.AddJob("accepted-since", kListBegan);
  fixture.AddJob("other-kind", kListBegan - seconds(1));
  CHECK(fixture.RemoveDeletedJobs(
            {"end.deleted", "job.listed", "segment.deleted.000000"}) == 1);
  CHECK_FALSE(fixture.jobs.Find("deleted"));
  CHECK(fixture.jobs.Find("listed"));
  CHECK(fixture.jobs.Find("accepted-since"));
  CHECK(fixture.jobs.Find("other-kind"));
  CHECK(fixture.RemoveDeletedJobs({"job.listed"}) == 0);
}

}  // namespace knapweedstile::gateway
