#include <catch2/catch.hpp>
#include <set>

#include "base/clock.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;

constexpr char kFiveWords[] = "word 1\nword 2\nword 3\nword 4\nword 5";

struct TwoGateways {
  Site site;
  ModelServer& first;
  ModelServer& second;

  TwoGateways()
      : first(site.AddServer("llm", "i-1")),
        second(site.AddServer("llm", "i-2")) {
    site.Configure(2);
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }
  // The first job of a fleet also writes the layout to the store.
  void AcceptFirstJob() {
    REQUIRE(site.Call(site.JobRequest("entry-1", "first-job", 1)).status ==
            202);
    site.WaitForResults("entry-1", "first-job", 1);
  }
  size_t Runs() const { return first.runs().size() + second.runs().size(); }
};

std::set<std::string> ItemsOf(const json::object& page) {
  std::set<std::string> items;
  for (const json::value& result : page.at("results").as_array()) {
    items.insert(std::string(result.at("id").as_string()));
  }
  return items;
}

}  // namespace

TEST_CASE("a job runs, and every gateway returns the same results") {
  TwoGateways fleet;
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 6)).status ==
        202);
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", 6);
  REQUIRE(ItemsOf(page).size() == 6);
  CHECK(page.at("total") == 6);
  for (const json::value& result : page.at("results").as_array()) {
    CHECK(result.at("state") == "completed");
    CHECK(result.at("output") == kFiveWords);
  }
  CHECK(fleet.site.WaitForResults("entry-2", "job-a", 6) == page);
}

TEST_CASE("the body of an item is readable until its job is ended") {
  TwoGateways fleet;
  fleet.first.first_byte_delay = std::chrono::seconds(60);
  fleet.second.first_byte_delay = std::chrono::seconds(60);
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2)).status ==
      202);
  const auto body = [&] {
    http::ClientRequest request;
    request.address = fleet.site.caller_address("entry-2");
    request.target = "/-/items/job-a?id=job-a-1";
    request.headers.Add("Host", kHost);
    return fleet.site.Call(std::move(request));
  };
  CHECK(fleet.site.caller().RunUntil([&] { return body().status == 200; }));
  CHECK(body().body == "hello");
  CHECK(fleet.site.EndJob("entry-1", "job-a").status == 200);
  CHECK(fleet.site.caller().RunUntil([&] { return body().status == 404; }));
}

// Guards against running a job twice when its caller missed the response and
// retries at another gateway.
TEST_CASE("a retried job is accepted once") {
  TwoGateways fleet;
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 3)).status ==
        202);
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-2", "job-a", 3)).status ==
        202);
  fleet.site.WaitForResults("entry-2", "job-a", 3);
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 3)).status ==
        202);
  fleet.site.caller().RunFor(std::chrono::milliseconds(300));
  CHECK(fleet.Runs() == 3);
}

// Guards against lost or duplicate records when the store applies a write but
// its response is lost. The gateway reads the record back before it responds,
// and lists each result once.
TEST_CASE("lost responses of the store cause no lost or duplicate records") {
  TwoGateways fleet;
  fleet.AcceptFirstJob();
  fleet.site.store().LoseAnswers(1);
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2)).status ==
        202);
  fleet.site.store().LoseAnswers(2);
  const auto page = fleet.site.WaitForResults("entry-2", "job-a", 2);
  CHECK(ItemsOf(page).size() == 2);
  CHECK(page.at("results").as_array().size() == 2);
}

TEST_CASE("jobs are rejected while the store is unavailable, and only then") {
  TwoGateways fleet;
  fleet.site.store().SetHealth(ObjectStore::Health::kUnavailable);
  CHECK(fleet.site.caller().RunUntil([&] {
    return fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2))
               .status == 503;
  }));
  fleet.site.store().SetHealth(ObjectStore::Health::kHealthy);
  CHECK(fleet.site.caller().RunUntil([&] {
    return fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2))
               .status == 202;
  }));
}

// Guards against responding that a job will not run while it is unknown whether
// its record was written: the store accepts the write and does not respond.
TEST_CASE(
    "a job whose record may have been written is not reported as rejected") {
  TwoGateways fleet;
  fleet.AcceptFirstJob();
  fleet.site.store().SetHealth(ObjectStore::Health::kUnresponsive);
  const auto end =
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2));
  CHECK(end.status == 504);
}

TEST_CASE("a job over the limit on waiting tokens is rejected") {
  TwoGateways fleet;
  fleet.site.Configure(5, {{"max_count", 1000}});
  fleet.site.caller().RunFor(std::chrono::milliseconds(200));
  fleet.first.first_byte_delay = std::chrono::seconds(60);
  fleet.second.first_byte_delay = std::chrono::seconds(60);
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 4, 200))
            .status == 202);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.site.Results("entry-2", "job-a").status == 200; }));
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-2", "job-b", 4, 200))
            .status == 429);
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-c", 4, 200))
            .status == 429);
}

// Guards against items that keep running, or start, after their caller has
// ended the job.
TEST_CASE("the items of an ended job are cancelled") {
  TwoGateways fleet;
  fleet.first.events = 100000;
  fleet.second.events = 100000;
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 3)).status ==
      202);
  REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.Runs() == 3; }));
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.site.EndJob("entry-2", "job-a").status == 200; }));
  CHECK(fleet.site.caller().RunUntil([&] {
    size_t cancelled = 0;
    for (const auto* server : {&fleet.first, &fleet.second}) {
      for (const auto& run : server->runs()) cancelled += run.cancelled ? 1 : 0;
    }
    return cancelled == 3;
  }));
  fleet.site.caller().RunFor(std::chrono::milliseconds(500));
  CHECK(fleet.Runs() == 3);
}

// Guards against lost or duplicate results when a gateway is killed with items
// in flight and another gateway takes over its job.
TEST_CASE("the job of a killed gateway is finished by another one") {
  TwoGateways fleet;
  fleet.first.event_interval = std::chrono::milliseconds(100);
  fleet.second.event_interval = std::chrono::milliseconds(100);
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 4)).status ==
      202);
  REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.Runs() >= 2; }));
  fleet.site.process("entry-1").Kill();
  const auto page = fleet.site.WaitForResults("entry-2", "job-a", 4);
  CHECK(ItemsOf(page).size() == 4);
}

// Guards against losing accepted jobs and results that callers have read when
// all gateways are killed at once.
TEST_CASE("jobs and results survive a crash of all gateways") {
  TwoGateways fleet;
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2)).status ==
      202);
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", 2);
  fleet.first.first_byte_delay = std::chrono::seconds(60);
  fleet.second.first_byte_delay = std::chrono::seconds(60);
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-2", "job-b", 2)).status ==
      202);
  fleet.site.process("entry-1").Kill();
  fleet.site.process("entry-2").Kill();
  fleet.first.first_byte_delay = std::chrono::milliseconds(0);
  fleet.second.first_byte_delay = std::chrono::milliseconds(0);
  fleet.site.AddGateway("entry-1");
  CHECK(fleet.site.WaitForResults("entry-1", "job-a", 2) == page);
  CHECK(ItemsOf(fleet.site.WaitForResults("entry-1", "job-b", 2)).size() == 2);
}

TEST_CASE("an item that a server rejects with 422 is listed as failed") {
  TwoGateways fleet;
  fleet.first.unprocessable_next = 1;
  fleet.second.unprocessable_next = 1;
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 1)).status ==
      202);
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", 1);
  CHECK(page.at("results").as_array().front().at("state") == "dead");
  CHECK(fleet.Runs() == 1);
}

// Guards against retrying an item forever: it is given up after as many failed
// runs as the route allows attempts.
TEST_CASE("an item that fails in every run is given up") {
  TwoGateways fleet;
  fleet.first.fail_next = 10;
  fleet.second.fail_next = 10;
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 1)).status ==
      202);
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", 1);
  CHECK(page.at("results").as_array().front().at("state") == "dead");
  CHECK(fleet.Runs() == 2);
}

TEST_CASE("a broken run of an item resumes after its last event") {
  TwoGateways fleet;
  fleet.first.break_after = 3;
  fleet.second.break_after = 3;
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 1)).status ==
      202);
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", 1);
  CHECK(page.at("results").as_array().front().at("output") == kFiveWords);
  CHECK(fleet.Runs() >= 2);
}

// Guards against online requests that wait for a batch item to finish while
// batch items occupy all slots that batch may use.
TEST_CASE("an online request preempts a batch item") {
  TwoGateways fleet;
  fleet.first.events = 100000;
  fleet.second.events = 100000;
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 10)).status ==
      202);
  // One slot of each server is reserved for online requests.
  REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.Runs() == 6; }));
  std::vector<ExchangeId> online;
  for (int i = 0; i < 4; ++i) {
    online.push_back(fleet.site.caller().Begin(fleet.site.OnlineRequest(
        "entry-2", "POST", "/query/1", "r" + std::to_string(i), 2000)));
    fleet.site.caller().RunFor(std::chrono::milliseconds(60));
  }
  CHECK(fleet.site.caller().RunUntil([&] {
    size_t cancelled = 0;
    for (const auto* server : {&fleet.first, &fleet.second}) {
      for (const auto& run : server->runs()) {
        const bool item = run.target.starts_with("/summaries/");
        cancelled += item && run.cancelled ? 1 : 0;
      }
    }
    return cancelled >= 2;
  }));
}

// Guards against accepted jobs that nobody runs: their owner has restarted
// without the store, so that it starts no items, and is live for its peers.
TEST_CASE(
    "jobs of an owner that restarts without the store are run by a peer") {
  Site site;
  site.Configure(2);
  site.use_second_store_address = true;
  site.AddGateway("entry-1");
  site.use_second_store_address = false;
  site.AddGateway("entry-2");
  REQUIRE(site.Call(site.JobRequest("entry-1", "job-a", 6)).status == 202);
  REQUIRE(site.caller().RunUntil(
      [&] { return site.Results("entry-2", "job-a").status == 200; }));
  site.store().RejectAtSecondAddress(true);
  site.process("entry-1").Kill();
  site.RestartGateway("entry-1");
  ModelServer& server = site.AddServer("llm", "i-1", 2);
  // Items are due 18 s after the end of the traffic.
  const TimePoint due_at = MonotonicNow() + std::chrono::seconds(18);
  const auto listed = [&] {
    const auto end = site.Results("entry-2", "job-a");
    return end.status == 200 ? ItemsOf(json::parse(end.body).as_object()).size()
                             : size_t{0};
  };
  site.caller().RunUntil(
      [&] { return listed() == 6 || MonotonicNow() > due_at; });
  CHECK(listed() == 6);

  // With the store back, it runs its jobs again; no item runs twice.
  REQUIRE(site.Call(site.JobRequest("entry-2", "job-b", 6)).status == 202);
  site.store().RejectAtSecondAddress(false);
  REQUIRE(site.caller().RunUntil([&] { return site.Ready("entry-1"); }));
  REQUIRE(site.Call(site.JobRequest("entry-1", "job-c", 6)).status == 202);
  CHECK(ItemsOf(site.WaitForResults("entry-1", "job-b", 6)).size() == 6);
  CHECK(ItemsOf(site.WaitForResults("entry-2", "job-c", 6)).size() == 6);
  CHECK(server.runs().size() == 18);
}

// Guards against rejecting jobs, or waiting for results that cannot be written,
// at a gateway whose calls the store rejects while it serves another gateway.
TEST_CASE("a gateway that the store rejects works through another one") {
  Site site;
  site.AddServer("llm", "i-1");
  site.Configure(2);
  site.AddGateway("entry-1");
  site.use_second_store_address = true;
  site.AddGateway("entry-2");
  site.caller().RunFor(std::chrono::milliseconds(800));
  site.store().RejectAtSecondAddress(true);
  // The first call may be rejected; the gateway then knows that the store is
  // unavailable to it.
  CHECK(site.caller().RunUntil([&] {
    return site.Call(site.JobRequest("entry-2", "job-a", 2)).status == 202;
  }));
  CHECK(site.Call(site.JobRequest("entry-2", "job-b", 2)).status == 202);
  CHECK(ItemsOf(site.WaitForResults("entry-1", "job-b", 2)).size() == 2);
  CHECK(ItemsOf(site.WaitForResults("entry-2", "job-b", 2)).size() == 2);
  CHECK(site.EndJob("entry-2", "job-a").status == 200);
  CHECK(site.Metrics("entry-2").find("knap_store_available 0") !=
        std::string::npos);
}

// Guards against a store that fills up with expired records, and against
// deleting records that are open or still within their retention.
TEST_CASE("records of expired jobs are deleted") {
  Site site;
  site.AddServer("llm", "i-1");
  site.Configure(2);
  site.retention_s = 1;
  site.AddGateway("entry-1");
  site.AddGateway("entry-2");
  REQUIRE(site.Call(site.JobRequest("entry-1", "job-a", 2)).status == 202);
  site.WaitForResults("entry-2", "job-a", 2);
  CHECK(site.store().Count("knapweedstile", "job.") == 1);
  CHECK(site.store().Count("knapweedstile", "segment.") >= 1);
  CHECK(site.caller().RunUntil([&] {
    return site.store().Count("knapweedstile", "job.") == 0 &&
           site.store().Count("knapweedstile", "segment.") == 0;
  }));
  CHECK(site.caller().RunUntil(
      [&] { return site.Results("entry-2", "job-a").status == 404; }));
  CHECK(site.store().Count("knapweedstile-members", "node.") == 2);
}

// Guards against jobs that stay in memory for good because their deletion was
// in a part of the store's history that had been compacted.
TEST_CASE("jobs deleted in compacted history are removed, and no others") {
  Site site;
  site.Configure(2);
  site.AddGateway("entry-1");
  REQUIRE(site.Call(site.JobRequest("entry-1", "job-a", 2)).status == 202);
  REQUIRE(site.Call(site.JobRequest("entry-1", "job-b", 2)).status == 202);
  site.store().Remove("knapweedstile", "job.job-a");
  site.store().DropHistory();
  CHECK(site.caller().RunUntil(
      [&] { return site.Results("entry-1", "job-a").status == 404; }));
  CHECK(site.Results("entry-1", "job-b").status == 200);
  CHECK(site.Metrics("entry-1").find("knap_jobs_deleted_unseen_total 1") !=
        std::string::npos);
}

// A gateway that is shutting down starts no items. Guards against jobs that it
// accepts from callers who still reach it and that no other gateway runs.
TEST_CASE("a gateway that is shutting down still accepts jobs") {
  TwoGateways fleet;
  fleet.site.caller().RunFor(std::chrono::milliseconds(700));
  fleet.site.process("entry-1").Terminate();
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return !fleet.site.Ready("entry-1"); }));
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2)).status ==
        202);
  CHECK(ItemsOf(fleet.site.WaitForResults("entry-2", "job-a", 2)).size() == 2);
}

// Guards against an item whose result is listed at two positions.
TEST_CASE("a job that names an item twice is rejected and not stored") {
  TwoGateways fleet;
  auto request = fleet.site.JobRequest("entry-1", "job-x", 3);
  const std::string second = "\"job-x-1\"";
  request.body.replace(request.body.find(second), second.size(), "\"job-x-0\"");
  const auto end = fleet.site.Call(std::move(request));
  CHECK(end.status == 400);
  CHECK(fleet.site.Results("entry-1", "job-x").status == 404);
  // The id of the job is not taken.
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-2", "job-x", 3)).status ==
        202);
}

TEST_CASE("malformed jobs are rejected and not stored") {
  TwoGateways fleet;
  for (const std::string body :
       {"{", "[]", R"({"items":[]})", R"({"items":[{"id":"x"}]})",
        R"({"items":[{"id":"x","path":"/summaries/1","body":"?"}]})"}) {
    auto request =
        fleet.site.OnlineRequest("entry-1", "POST", "/summaries/1", "job-x");
    request.body = body;
    const auto end = fleet.site.Call(std::move(request));
    CHECK(end.status == 400);
  }
  CHECK(fleet.site.Results("entry-1", "job-x").status == 404);
}

}  // namespace knapweedstile::users_site
