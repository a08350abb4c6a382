// Items of a split batch route are never run after the first of its services
// has lost its engine: see claim.txt.
#include <set>
#include <vector>

#include "engine-2.hpp"
#include "record-2.hpp"
#include "users_platform/site.h"

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;
using knapweedstile::MonotonicNow;
using knapweedstile::TimePoint;
using knapweedstile::ToSeconds;
using knapweedstile::users_site::Site;
using review::Engine;

constexpr int kSlots = 8;
constexpr auto kHeartbeats = 1200ms;  // three heartbeat intervals
constexpr auto kFinish = 18000ms;     // finish_s

int Run(const std::string& record_file) {
  review::Record record(record_file);
  const bool trouble = review::WithTrouble();
  record.Line(trouble ? "with the disruption" : "without the disruption");
  Site site;
  std::vector<std::unique_ptr<Engine>> engines;
  const auto add = [&](const std::string& service, const std::string& name) {
    engines.push_back(std::make_unique<Engine>(site.caller().io(), name));
    engines.back()->events = [](const std::string&) { return uint64_t{150}; };
    engines.back()->Register(site.store(), service, kSlots);
  };
  add("llm-next", "i-next");
  for (int i = 1; i <= 7; ++i) add("llm", "i-" + std::to_string(i));
  Engine& next = *engines.front();
  // The batch route is split: a tenth goes to the new service.
  site.Configure(2, {{"queue_ttl_s", 100}});
  json::value configuration = site.store().Spec("config", "main");
  for (json::value& route : configuration.at("routes").as_array()) {
    if (route.at("kind") != "batch") continue;
    json::object& fields = route.as_object();
    fields.erase("service");
    fields["backends"] =
        json::array{json::object{{"service", "llm-next"}, {"weight", 10}},
                    json::object{{"service", "llm"}, {"weight", 90}}};
    record.Line("route: " + json::serialize(route));
  }
  configuration.at("services")
      .as_array()
      .push_back(json::object{{"name", "llm-next"}});
  configuration.as_object()["version"] = 3;
  site.store().Put("config", "main", configuration);
  site.AddGateway("front-1");
  site.AddGateway("front-2");
  record.Line("front-1 and front-2 are ready; 8 engines");
  site.caller().RunFor(3000ms);
  const std::string job = "job-split";
  constexpr int kItems = 6;
  const auto accepted = site.Call(site.JobRequest("front-1", job, kItems));
  record.Line("POST " + job + " at front-1 -> " +
              std::to_string(accepted.status));
  if (accepted.status != 202) return review::kCouldNotRun;
  site.caller().RunFor(1500ms);
  if (trouble) {
    next.Crash();
    record.Line("engine i-next, one of eight, is lost for good");
    site.caller().RunFor(kHeartbeats);
    site.store().Remove("servers", next.instance());
    record.Line("its entry is removed");
  } else {
    site.caller().RunFor(kHeartbeats);
  }
  const TimePoint calm_from = MonotonicNow();
  // finish_s, and 20 s after the last item that failed at an engine.
  site.caller().RunFor(kFinish + 4000ms);

  const TimePoint now = MonotonicNow();
  std::set<std::string> listed;
  for (const std::string gateway : {"front-1", "front-2"}) {
    const auto end = site.Results(gateway, job);
    record.Line("GET " + job + " at " + gateway + " -> " +
                std::to_string(end.status) + " " + end.body.substr(0, 60));
    if (end.status != 200) continue;
    const json::value page = json::parse(end.body);
    for (const json::value& result : page.at("results").as_array()) {
      listed.insert(std::string(result.at("id").as_string()));
    }
  }
  bool excused = false;
  int busy = 0;
  for (const auto& engine : engines) {
    for (const Engine::Run& run : engine->runs()) {
      record.Line("ran " + run.request + " at " + engine->instance() +
                  " from " + std::to_string(record.Seconds(run.started_at)) +
                  " to " + std::to_string(record.Seconds(run.ended_at)) + " " +
                  run.end);
      busy += run.ended_at > now;
      const bool finished = run.end == "complete";
      if (finished && now - run.ended_at < 3s) excused = true;
      if (!listed.contains(run.request) && now - run.ended_at < 5s)
        excused = true;
    }
  }
  const int missing = kItems - static_cast<int>(listed.size());
  record.Line(std::to_string(missing) + " of " + std::to_string(kItems) +
              " items are neither completed nor dead, " +
              std::to_string(ToSeconds(now - calm_from)) +
              " s after the disruption; busy slots: " + std::to_string(busy));
  if (excused) return review::kCouldNotRun;
  record.Line(missing > 0 ? "BROKEN: LOST" : "held");
  return missing > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc > 1 ? argv[1] : "record.txt");
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kCouldNotRun;
  }
}
