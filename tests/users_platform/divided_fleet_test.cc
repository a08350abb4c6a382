#include <catch2/catch.hpp>
#include <set>

#include "batch/job_call.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr char kMembers[] = "knapweedstile-members";
constexpr int kShards = 8;

// Two cells, one per availability zone, with two gateways each. Jobs are
// distributed over the shards of both.
struct TwoCells {
  Site site;
  ModelServer& first = site.AddServer("llm", "i-1");
  ModelServer& second = site.AddServer("llm", "i-2");
  const std::vector<std::string> gateways = {"a-1", "a-2", "b-1", "b-2"};

  TwoCells() {
    site.store().Put(kMembers, "layout", json::object{{"shards", kShards}});
    site.zone_of = [](const std::string& name) {
      return "zone-" + name.substr(0, 1);
    };
    site.native_api = true;
    site.Configure(2);
    for (const std::string& gateway : gateways) site.AddGateway(gateway);
    site.caller().RunUntil([&] {
      return site.store().Count(kMembers, "node.") == gateways.size();
    });
    site.caller().RunFor(milliseconds(1500));
  }

  // Shards whose store kind contains a record with this prefix.
  std::set<int> ShardsHolding(const std::string& prefix) const {
    std::set<int> shards;
    for (int shard = 0; shard < kShards; ++shard) {
      const std::string kind = "knapweedstile-" + std::to_string(shard) + "of" +
                               std::to_string(kShards);
      if (store().Count(kind, prefix) > 0) shards.insert(shard);
    }
    return shards;
  }
  const ObjectStore& store() const { return const_cast<Site&>(site).store(); }
};

std::string JobId(int job) { return "job-" + std::to_string(job); }

}  // namespace

TEST_CASE("a fleet with cells accepts and serves jobs at every gateway") {
  TwoCells fleet;
  constexpr int kJobs = 6;
  for (int job = 0; job < kJobs; ++job) {
    const std::string& gateway = fleet.gateways[job % 4];
    REQUIRE(fleet.site.Call(fleet.site.Job(gateway, JobId(job), 2)).status ==
            202);
  }
  for (int job = 0; job < kJobs; ++job) {
    std::optional<json::object> page;
    for (const std::string& gateway : fleet.gateways) {
      const auto read = fleet.site.WaitForResults(gateway, JobId(job), 2);
      if (!page) page = read;
      CHECK(read == *page);
    }
  }
  CHECK(fleet.ShardsHolding("job.").size() > 1);
  CHECK(fleet.store().Count("knapweedstile", "") == 0);
}

// Guards against accepting a retried job once in each cell.
TEST_CASE("a job that is retried at another cell is accepted once") {
  TwoCells fleet;
  for (const std::string& gateway : fleet.gateways) {
    CHECK(fleet.site.Call(fleet.site.Job(gateway, "job-a", 3)).status == 202);
  }
  fleet.site.WaitForResults("b-2", "job-a", 3);
  CHECK(fleet.first.runs().size() + fleet.second.runs().size() == 3);
  CHECK(fleet.ShardsHolding("job.").size() == 1);
}

TEST_CASE("a job can be ended through a gateway of another cell") {
  TwoCells fleet;
  fleet.first.first_pause = fleet.second.first_pause = std::chrono::hours(1);
  REQUIRE(fleet.site.Call(fleet.site.Job("a-1", "job-a", 1)).status == 202);
  for (const std::string& gateway : fleet.gateways) {
    CHECK(fleet.site.EndJob(gateway, "job-a").status == 200);
  }
  CHECK(fleet.site.EndJob("a-1", "no-job").status == 404);
  CHECK(fleet.site.Results("b-1", "no-job").status == 404);
}

// Guards against forwarding a call to one gateway of the shard only, and
// failing when that gateway is down.
TEST_CASE("forwarded calls fail over to the other gateway of a cell") {
  TwoCells fleet;
  for (const std::string& killed : {"a-1", "b-1"}) {
    fleet.site.process(killed).Kill();
  }
  for (int job = 0; job < 4; ++job) {
    CHECK(fleet.site.Call(fleet.site.Job("a-2", JobId(job), 2)).status == 202);
    fleet.site.WaitForResults("b-2", JobId(job), 2);
  }
}

// Guards against losing jobs when every gateway of a cell restarts and the
// state in memory is lost.
TEST_CASE("a fleet with cells recovers its jobs after all gateways restart") {
  TwoCells fleet;
  for (int job = 0; job < 4; ++job) {
    REQUIRE(fleet.site.Call(fleet.site.Job("a-1", JobId(job), 2)).status ==
            202);
  }
  const auto before = fleet.site.WaitForResults("b-1", JobId(0), 2);
  for (const std::string& gateway : fleet.gateways) {
    fleet.site.process(gateway).Kill();
  }
  for (const std::string& gateway : fleet.gateways) {
    fleet.site.RestartGateway(gateway);
  }
  for (const std::string& gateway : fleet.gateways) {
    REQUIRE(fleet.site.caller().RunUntil(
        [&] { return fleet.site.Ready(gateway); }));
  }
  CHECK(fleet.site.WaitForResults("b-2", JobId(0), 2) == before);
  for (int job = 1; job < 4; ++job) {
    fleet.site.WaitForResults("a-2", JobId(job), 2);
  }
}

// Guards against cells that together accept more than the limit, because no
// cell knows the jobs of the others.
TEST_CASE("cells enforce their shares of the limit on waiting tokens") {
  TwoCells fleet;
  fleet.first.first_pause = fleet.second.first_pause = std::chrono::hours(1);
  fleet.site.Configure(3, {{"max_count", 4000}});
  fleet.site.caller().RunFor(milliseconds(500));
  int accepted = 0;
  for (int job = 0; job < 60; ++job) {
    const std::string& gateway = fleet.gateways[job % 4];
    const auto response =
        fleet.site.Call(fleet.site.Job(gateway, JobId(job), 1));
    accepted += response.status == 202 ? 1 : 0;
  }
  // The limit allows 40 jobs; the tolerated overage is a tenth.
  CHECK(accepted <= 44);
  CHECK(accepted >= 20);
}

// Guards against a fleet of hundreds of gateways without cells, in which every
// gateway stores every job.
TEST_CASE("a fleet of hundreds of gateways is split into cells at start") {
  Site site;
  site.AddServer("llm", "i-1");
  site.Configure(2);
  for (int i = 0; i < 200; ++i) {
    site.store().Put(
        kMembers, "node.far-" + std::to_string(i),
        json::object{{"address", "127.0.0.1:9"}, {"zone", "zone-b"}});
  }
  site.AddGateway("a-1");
  CHECK(site.caller().RunUntil(
      [&] { return site.store().Count(kMembers, "layout") == 1; }));
}

// Guards against forwarding API keys beyond the gateway that checked them.
TEST_CASE("a forwarded job call contains no API key") {
  http::RequestEvent request{
      .method = "POST", .target = "/jobs/", .body = "{}"};
  request.headers.Add("authorization", "Bearer secret-key");
  request.headers.Add("Poll-Wait", "1000");
  const std::string bytes = gateway::EncodeJobCall(
      request, {.host = kHost, .request_id = "job-a", .workspace = "w-1"});
  CHECK(bytes.find("secret-key") == std::string::npos);
  const auto call = gateway::DecodeJobCall(bytes);
  REQUIRE(call);
  CHECK(call->request.headers.Find("Poll-Wait") == "1000");
  CHECK(call->caller.workspace == "w-1");
  CHECK_FALSE(gateway::DecodeJobCall("no call"));
}

}  // namespace knapweedstile::users_site
