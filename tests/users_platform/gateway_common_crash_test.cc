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
// crashed twice while they ran them.
TEST_CASE("items under which servers crashed twice are run again") {
  CommonCrash fleet;
  REQUIRE(fleet.site.Call(fleet.Job("job-a")).status == 202);
  fleet.CrashAll(TimePoint{});
  fleet.CrashAll(MonotonicNow());
  const auto page = fleet.site.WaitForResults("entry-2", "job-a", kItems);
  const auto& results = page.at("results").as_array();
  CHECK(results.size() == kItems);
  for (const auto& result : results) CHECK(result.at("state") == "completed");
  // Nor is a later job with the same part held.
  REQUIRE(fleet.site.Call(fleet.Job("job-b")).status == 202);
  const auto later = fleet.site.WaitForResults("entry-2", "job-b", kItems);
  CHECK(later.at("results").as_array().size() == kItems);
}

}  // namespace knapweedstile::users_site
