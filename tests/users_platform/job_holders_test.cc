#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "base/clock.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

// How long a reader that does not poll waits for an answer.
constexpr milliseconds kReaderTimeout{1500};
constexpr char kFiveWords[] = "word 1\nword 2\nword 3\nword 4\nword 5";

// Three zones with two gateways each: each job is held by two of the six.
struct SixGateways {
  Site site;
  ModelServer& first = site.AddServer("llm", "i-1");
  ModelServer& second = site.AddServer("llm", "i-2");
  const std::vector<std::string> gateways = {"a-1", "a-2", "b-1",
                                             "b-2", "c-1", "c-2"};

  SixGateways() {
    site.zone_of = [](const std::string& name) {
      return "zone-" + name.substr(0, 1);
    };
    site.Configure(2);
    for (const std::string& gateway : gateways) site.StartGateway(gateway);
    AwaitAll();
  }
  void AwaitAll() {
    for (const std::string& gateway : gateways) {
      REQUIRE(site.caller().RunUntil([&] { return site.Ready(gateway); }));
    }
    site.caller().RunFor(milliseconds(1500));
  }
  void Submit(const std::string& gateway, const std::string& job, int items) {
    REQUIRE(site.Call(site.JobRequest(gateway, job, items)).status == 202);
  }
  // The owner and the second holder, as the job's record names them.
  std::vector<std::string> Holders(const std::string& job) {
    const json::value spec = site.store().Spec("knapweedstile", "job." + job);
    const auto name = [&](const char* field) {
      return std::string(spec.at(field).as_string());
    };
    return {name("creator"), name("second")};
  }
  std::string Other(const std::string& job) {
    const std::vector<std::string> holders = Holders(job);
    return *std::find_if(
        gateways.begin(), gateways.end(), [&](const std::string& gateway) {
          return std::find(holders.begin(), holders.end(), gateway) ==
                 holders.end();
        });
  }
  http::EndEvent Body(const std::string& gateway, const std::string& job,
                      Duration timeout = std::chrono::seconds(10)) {
    http::ClientRequest request;
    request.address = site.caller_address(gateway);
    request.target = "/-/items/" + job + "?id=" + job + "-1";
    request.headers.Add("Host", kHost);
    request.deadline = MonotonicNow() + timeout;
    return site.Call(std::move(request));
  }
  size_t Runs() const { return first.runs().size() + second.runs().size(); }
};

void CheckComplete(const json::object& page, size_t items) {
  std::set<std::string> found;
  REQUIRE(page.contains("results"));
  for (const json::value& result : page.at("results").as_array()) {
    found.insert(std::string(result.at("id").as_string()));
    CHECK(result.at("state") == "completed");
    CHECK(result.at("output") == kFiveWords);
  }
  CHECK(found.size() == items);
  CHECK(page.at("results").as_array().size() == items);
  CHECK(page.at("total") == items);
}

}  // namespace

TEST_CASE("every gateway serves a job that two of them hold") {
  SixGateways fleet;
  for (const std::string& gateway : fleet.gateways) {
    const std::string job = "job-" + gateway;
    fleet.Submit(gateway, job, 3);
    const std::vector<std::string> holders = fleet.Holders(job);
    CHECK(holders[0].front() == gateway.front());
    CHECK(holders[1].front() != gateway.front());
    std::optional<json::object> first_page;
    for (const std::string& reader : fleet.gateways) {
      const auto page = fleet.site.WaitForResults(reader, job, 3);
      CheckComplete(page, 3);
      if (!first_page) first_page = page;
      CHECK(page == *first_page);
      CHECK(fleet.Body(reader, job).body == "hello");
    }
  }
  CHECK(fleet.Runs() == 18);
  const std::string metrics = fleet.site.Metrics(fleet.Other("job-a-1"));
  CHECK(metrics.find("knap_jobs_known{form=\"outline\"} 0") ==
        std::string::npos);
  CHECK(metrics.find("knap_outline_calls_total{outcome=\"to_holder\"}") !=
        std::string::npos);
  CHECK(metrics.find("outcome=\"from_store\"") == std::string::npos);
}

// Guards against losing a job whose owner is killed right after it accepted.
TEST_CASE("the second holder finishes the job of a killed owner") {
  SixGateways fleet;
  fleet.first.event_interval = fleet.second.event_interval = milliseconds(100);
  fleet.Submit("a-1", "job-a", 4);
  const std::vector<std::string> holders = fleet.Holders("job-a");
  fleet.site.process(holders[0]).Kill();
  for (const std::string& reader : {holders[1], fleet.Other("job-a")}) {
    CheckComplete(fleet.site.WaitForResults(reader, "job-a", 4), 4);
  }
}

// Guards against a job that nobody can run because both gateways with its
// bodies are gone, and against bodies that nobody can read.
TEST_CASE("a job is finished after both of its holders were killed") {
  SixGateways fleet;
  fleet.first.event_interval = fleet.second.event_interval = milliseconds(100);
  fleet.Submit("b-1", "job-a", 4);
  const std::string reader = fleet.Other("job-a");
  REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.Runs() >= 2; }));
  for (const std::string& holder : fleet.Holders("job-a")) {
    fleet.site.process(holder).Kill();
  }
  CheckComplete(fleet.site.WaitForResults(reader, "job-a", 4), 4);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Body(reader, "job-a").body == "hello"; }));
}

// Guards against readers who get nothing because the link to both holders is
// cut: they are suspended, so calls to them are not answered.
TEST_CASE("results are read from the store while no holder answers") {
  SixGateways fleet;
  fleet.Submit("c-1", "job-a", 3);
  const std::string reader = fleet.Other("job-a");
  REQUIRE(fleet.site.caller().RunUntil([&] {
    const auto end = fleet.site.Results(reader, "job-a", 2);
    return end.status == 200 && end.body.find("job-a-") != std::string::npos;
  }));
  for (const std::string& holder : fleet.Holders("job-a")) {
    fleet.site.process(holder).Pause();
  }
  http::ClientRequest read;
  read.address = fleet.site.caller_address(reader);
  read.target = "/-/lots/job-a?after=0";
  read.headers.Add("Host", kHost);
  read.deadline = MonotonicNow() + kReaderTimeout;
  const auto end = fleet.site.Call(std::move(read));
  REQUIRE(end.status == 200);
  CheckComplete(json::parse(end.body).as_object(), 3);
  CHECK(fleet.Body(reader, "job-a", kReaderTimeout).body == "hello");
  CHECK(fleet.site.Metrics(reader).find("outcome=\"from_store\"") !=
        std::string::npos);
  for (const std::string& holder : fleet.Holders("job-a")) {
    fleet.site.process(holder).Resume();
  }
}

// Guards against a wrong answer when neither the holders nor the store answer,
// and against readers who depend on the store while a holder is there.
TEST_CASE("holders answer readers while the store is away") {
  SixGateways fleet;
  fleet.Submit("a-2", "job-a", 3);
  const std::vector<std::string> holders = fleet.Holders("job-a");
  const std::string reader = fleet.Other("job-a");
  CheckComplete(fleet.site.WaitForResults(holders[0], "job-a", 3), 3);
  fleet.site.store().SetHealth(ObjectStore::Health::kUnavailable);
  CheckComplete(fleet.site.WaitForResults(reader, "job-a", 3), 3);
  fleet.site.process(holders[0]).Kill();
  CheckComplete(fleet.site.WaitForResults(reader, "job-a", 3), 3);
  fleet.site.process(holders[1]).Kill();
  const auto end = fleet.site.Results(reader, "job-a", 0);
  CHECK(end.status == 503);
  CHECK_FALSE(end.headers.Find("Retry-After").empty());
  fleet.site.store().SetHealth(ObjectStore::Health::kHealthy);
  CheckComplete(fleet.site.WaitForResults(reader, "job-a", 3), 3);
}

// Guards against losing jobs or listing items twice when the state in memory is
// lost everywhere.
TEST_CASE("held jobs survive a restart of all gateways") {
  SixGateways fleet;
  fleet.first.event_interval = fleet.second.event_interval = milliseconds(100);
  fleet.Submit("a-1", "job-a", 4);
  fleet.Submit("b-2", "job-b", 4);
  REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.Runs() >= 2; }));
  for (const std::string& gateway : fleet.gateways) {
    fleet.site.process(gateway).Kill();
  }
  for (const std::string& gateway : fleet.gateways) {
    fleet.site.RestartGateway(gateway);
  }
  fleet.AwaitAll();
  CheckComplete(fleet.site.WaitForResults("c-1", "job-a", 4), 4);
  CheckComplete(fleet.site.WaitForResults("a-2", "job-b", 4), 4);
}

// Guards against reads that end at a gateway with an outline because a call
// from another cell may not be sent on.
TEST_CASE("the cells of a divided fleet hold their jobs at two gateways") {
  Site site;
  site.AddServer("llm", "i-1");
  site.store().Put("knapweedstile-members", "layout",
                   json::object{{"shards", 8}});
  site.zone_of = [](const std::string& name) {
    return "zone-" + name.substr(0, 1);
  };
  site.Configure(2);
  std::vector<std::string> gateways;
  for (const std::string zone : {"a-", "b-"}) {
    for (int i = 0; i < 5; ++i) gateways.push_back(zone + std::to_string(i));
  }
  for (const std::string& gateway : gateways) site.StartGateway(gateway);
  for (const std::string& gateway : gateways) {
    REQUIRE(site.caller().RunUntil([&] { return site.Ready(gateway); }));
  }
  site.caller().RunFor(milliseconds(2500));
  for (int job = 0; job < 4; ++job) {
    const std::string id = "job-" + std::to_string(job);
    REQUIRE(site.Call(site.JobRequest(gateways[job], id, 2)).status == 202);
    for (const std::string& gateway : gateways) {
      CheckComplete(site.WaitForResults(gateway, id, 2), 2);
    }
  }
}

}  // namespace knapweedstile::users_site
