#include "store/record_collector.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "batch/job_records.h"
#include "batch/large_result_index.h"
#include "batch/record_kinds.h"
#include "cluster/fleet_view.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using std::chrono::seconds;

// A segment whose job is not known.
struct Fixture {
  boost::asio::io_context io;
  cluster::FleetView fleet{"a-1", {}};
  RecordKinds kinds{fleet};
  StoreCalls store{io, "127.0.0.1:1"};
  serving::JobTable jobs;
  LargeResultIndex large_results;
  RecordCollector collector{store, kinds,
                            jobs,  large_results,
                            {},    [](const std::string&) { return true; }};
  TimePoint now{seconds(1000)};

  Fixture() { jobs.AddSegment("job-a", 0, {{.item = "item-1"}}); }
  bool RunFor(seconds time, bool has_records) {
    for (const TimePoint end = now + time; now < end; now += seconds(1))
      collector.Run(now, has_records);
    return jobs.Orphans().contains("job-a");
  }
};

}  // namespace

// Guards against results that are deleted at a gateway that restarts without
// the store and is sent segments of jobs that it has not read yet.
TEST_CASE("a segment is no orphan before all records have been read") {
  Fixture fixture;
  CHECK(fixture.RunFor(seconds(300), /*has_records=*/false));
  CHECK(fixture.RunFor(seconds(50), /*has_records=*/true));
  CHECK(fixture.RunFor(seconds(1), /*has_records=*/false));
  CHECK(fixture.RunFor(seconds(50), /*has_records=*/true));
  CHECK_FALSE(fixture.RunFor(seconds(20), /*has_records=*/true));
}

// Guards against parts of large results that stay in the store when their
// writer or a collector has crashed.
TEST_CASE("a marker without its job is collected as an orphan") {
  Fixture fixture;
  fixture.large_results.Add("job-b", MarkerName("job-b", "0f", 2));
  fixture.RunFor(seconds(50), /*has_records=*/true);
  CHECK(fixture.large_results.jobs().contains("job-b"));
  fixture.RunFor(seconds(20), /*has_records=*/true);
  CHECK(fixture.large_results.jobs().empty());
}

}  // namespace knapweedstile::gateway
