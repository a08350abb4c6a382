#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <vector>

#include "batch/batch_api.h"
#include "batch/job_forwarder.h"
#include "batch/job_writer.h"
#include "batch/native_batch_api.h"
#include "batch/record_kinds.h"
#include "cluster/fleet_view.h"
#include "resource_limits.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

// A gateway that knows no job, and a store that never answers.
struct Fixture {
  boost::asio::io_context io;
  cluster::FleetView fleet{"a-1", {}};
  RecordKinds kinds{fleet};
  StoreCalls store{io, "127.0.0.1:1"};
  serving::JobTable jobs;
  serving::RouteTable routes;
  observe::Metrics metrics;
  ResourceLimits limits = DivideResources(256, 40, 4096);
  JobWriter writer{store, kinds, jobs, metrics, limits, {}};
  std::vector<unsigned> statuses;

  void OnResponse(const http::ServerCommand& command) {
    statuses.push_back(std::get<http::RespondCommand>(command).status);
  }
  BatchApi batch{store,
                 kinds,
                 jobs,
                 writer,
                 "a-1",
                 limits.calls,
                 {.to_caller = [this](auto&& c) { OnResponse(c); },
                  .has_all_records = [] { return true; }}};
  NativeBatchApi native{routes,
                        jobs,
                        writer,
                        "a-1",
                        {.to_caller = [this](auto&& c) { OnResponse(c); },
                         .has_all_records = [] { return true; }}};
};

}  // namespace

// Guards against a 404 for a job that the sender of the call knows, and against
// a read of the store that lasts as long as the sender waits.
TEST_CASE("a holder that does not know the job sends the call back") {
  Fixture fixture;
  const CallerIdentity caller{.workspace = "w", .sent_to_holder = true};
  for (const auto operation : {users_platform::BatchOperation::kRead,
                               users_platform::BatchOperation::kItemBody}) {
    fixture.batch.Call({}, {.operation = operation, .job = "job-a"}, caller);
  }
  http::RequestEvent results;
  results.method = "GET";
  results.target = "/v1/batches/job-a/results";
  fixture.native.OnRequest(std::move(results), caller);
  CHECK(fixture.statuses ==
        std::vector<unsigned>(3, JobForwarder::kMisdirected));
  CHECK(fixture.store.call_count() == 0);
}

}  // namespace knapweedstile::gateway
