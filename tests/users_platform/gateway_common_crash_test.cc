#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

constexpr int kItems = 8;
// Long enough for no item to be complete before the second crash.
constexpr int kEvents = 40;
constexpr std::chrono::milliseconds kEventInterval{60};

// Two gateways in front of four servers that crash all at once.
struct CommonCrash {
  Site site;
  std::vector<ModelServer*> servers;

  CommonCrash() {
    for (int i = 0; i < 4; ++i) {
      ModelServer& server = site.AddServer("llm", "i-" + std::to_string(i), 4);
      server.events = kEvents;
      server.event_interval = kEventInterval;
      servers.push_back(&server);
    }
    site.Configure(2);
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }
  http::ClientRequest Online(const std::string& gateway,
                             const std::string& id) const {
    auto request = site.OnlineRequest(gateway, "POST", "/reply/" + id, id);
    request.headers.Add("Prompt-Prefix", "aa01:100,0b03:50");
    return request;
  }
  // A job whose items share a part of their prompts.
  http::ClientRequest Job(const std::string& id) const {
    auto request = site.JobRequest("entry-1", id, kItems);
    const std::string model = R"("Model":"m")";
    const std::string parts = R"(,"Prompt-Prefix":"aa01:100,0b02:50")";
    for (size_t at = request.body.find(model); at != std::string::npos;
         at = request.body.find(model, at + model.size())) {
      request.body.insert(at + model.size(), parts);
    }
    return request;
  }
  // Whether a server has begun to run the request.
  bool Runs(const std::string& id) const {
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
      return std::any_of(server->runs().begin(), server->runs().end(),
                         [&](const auto& run) {
                           return run.headers.Find("Request-Id") == id;
                         });
    });
  }
  int RunsSince(TimePoint time) const {
    int count = 0;
    for (const ModelServer* server : servers) {
      count += static_cast<int>(std::count_if(
          server->runs().begin(), server->runs().end(), [&](const auto& run) {
            return run.started_at > time && run.ended_at == kNever;
          }));
    }
    return count;
  }
  // Crashes all servers once most items run on them.
  void CrashAll(TimePoint after) {
    REQUIRE(site.caller().RunUntil([&] { return RunsSince(after) >= 6; }));
    for (ModelServer* server : servers) site.CrashServer(*server);
  }
};

}  // namespace

// Guards against accepted items that are never run again after all servers
// crashed twice while they ran them, and against online requests that are
// rejected because they share a part with such items.
TEST_CASE("items under which servers crashed twice are run again") {
  CommonCrash fleet;
  REQUIRE(fleet.site.Call(fleet.Job("job-a")).status == 202);
  fleet.CrashAll(TimePoint{});
  fleet.CrashAll(MonotonicNow());
  // Evidence has been reported by then, and no item is complete.
  fleet.site.caller().RunFor(std::chrono::milliseconds(1200));
  REQUIRE(fleet.site.Results("entry-1", "job-a").body.find("completed") ==
          std::string::npos);
  CHECK(fleet.site.Call(fleet.Online("entry-1", "r1")).status == 200);
  const auto page = fleet.site.WaitForResults("entry-2", "job-a", kItems);
  const auto& results = page.at("results").as_array();
  CHECK(results.size() == kItems);
  for (const auto& result : results) CHECK(result.at("state") == "completed");
  // Nor is a later job with the same part held.
  REQUIRE(fleet.site.Call(fleet.Job("job-b")).status == 202);
  const auto later = fleet.site.WaitForResults("entry-2", "job-b", kItems);
  CHECK(later.at("results").as_array().size() == kItems);
}

// Guards against accepted items that wait because online requests with a part
// of their prompts crash servers.
TEST_CASE("items run while online requests with their part are rejected") {
  CommonCrash fleet;
  for (ModelServer* server : fleet.servers) server->crash_body = "boom";
  const auto quarantined = [&] {
    return fleet.site.Metrics("entry-1").find(
               "knap_prompt_parts_quarantined 1") != std::string::npos;
  };
  // One attempt each: further crashes of one server are no more evidence.
  for (int i = 0; i < 30 && !quarantined(); ++i) {
    auto request = fleet.Online("entry-1", "r" + std::to_string(i));
    request.target = "/query/r" + std::to_string(i);
    request.body = "boom";
    const auto end = fleet.site.Call(std::move(request));
    CHECK(end.status / 100 == 5);
    fleet.site.caller().RunFor(std::chrono::milliseconds(100));
  }
  REQUIRE(quarantined());
  CHECK(fleet.site.Call(fleet.Online("entry-1", "sound")).status == 503);
  REQUIRE(fleet.site.Call(fleet.Job("job-a")).status == 202);
  const auto page = fleet.site.WaitForResults("entry-2", "job-a", kItems);
  CHECK(page.at("results").as_array().size() == kItems);
}

// Guards against a sound part that is quarantined because one of the servers
// ran a request with it each time that all crashed.
TEST_CASE("waves of crashes under items accuse no part of single requests") {
  CommonCrash fleet;
  REQUIRE(fleet.site.Call(fleet.Job("job-a")).status == 202);
  TimePoint crashed_at{};
  for (int wave = 1; wave <= 3; ++wave) {
    REQUIRE(fleet.site.caller().RunUntil(
        [&] { return fleet.RunsSince(crashed_at) >= 6; }));
    const std::string id = "r" + std::to_string(wave);
    const ExchangeId request = fleet.site.caller().Begin(
        fleet.Online("entry-" + std::to_string(wave % 2 + 1), id));
    REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.Runs(id); }));
    crashed_at = MonotonicNow();
    for (ModelServer* server : fleet.servers) fleet.site.CrashServer(*server);
    fleet.site.caller().RunFor(std::chrono::milliseconds(100));
    fleet.site.caller().Cancel(request);
  }
  // Evidence has been reported by then.
  fleet.site.caller().RunFor(std::chrono::milliseconds(1200));
  for (const char* gateway : {"entry-1", "entry-2"}) {
    const std::string id = std::string("later-at-") + gateway;
    CHECK(fleet.site.Call(fleet.Online(gateway, id)).status == 200);
  }
}

}  // namespace knapweedstile::users_site
