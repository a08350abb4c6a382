// Jobs of a cell whose gateways have all left can't be read any more: claim.txt.
#include <map>
#include <set>
#include <vector>

#include "engine-2.hpp"
#include "record-2.hpp"
#include "users_platform/site.h"

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;
using knapweedstile::ExchangeId;
using knapweedstile::MonotonicNow;
using knapweedstile::TimePoint;
using knapweedstile::users_site::Site;
using review::Engine;

constexpr int kJobs = 36;
constexpr int kItems = 2;
constexpr char kLeavingZone[] = "zone-d";

int Run(const std::string& record_file) {
  review::Record record(record_file);
  const bool trouble = review::WithTrouble();
  record.Line(trouble ? "with the disruption" : "without the disruption");
  Site site;
  std::map<std::string, std::string> zones;
  site.zone_of = [&](const std::string& name) { return zones.at(name); };
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 1; i <= 4; ++i) {
    engines.push_back(std::make_unique<Engine>(site.caller().io(),
                                               "i-" + std::to_string(i)));
    engines.back()->event_interval = 5ms;
    engines.back()->Register(site.store(), "llm", 8);
  }
  site.Configure(2, {{"max_count", 0}});
  // 130 gateways, 13 of them in one zone.
  std::vector<std::string> stay, leave;
  const std::vector<std::pair<std::string, int>> sizes = {
      {"zone-a", 39}, {"zone-b", 39}, {"zone-c", 39}, {kLeavingZone, 13}};
  for (const auto& [zone, count] : sizes) {
    for (int i = 1; i <= count; ++i) {
      const std::string name = "front-" + zone + "-" + std::to_string(i);
      zones[name] = zone;
      (zone == kLeavingZone ? leave : stay).push_back(name);
      site.StartGateway(name);
      site.caller().RunFor(20ms);
    }
  }
  std::vector<std::string> all = stay;
  all.insert(all.end(), leave.begin(), leave.end());
  for (const std::string& gateway : all) {
    if (!site.caller().RunUntil([&] { return site.Ready(gateway); }))
      return review::kCouldNotRun;
  }
  record.Line(std::to_string(all.size()) + " gateways are ready");
  site.caller().RunFor(6000ms);
  const std::string metrics = site.Metrics(stay.front());
  const size_t at = metrics.find("\nknap_fleet_shards ");
  record.Line(metrics.substr(at + 1, metrics.find('\n', at + 1) - at - 1));

  std::vector<std::string> jobs;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "job-" + std::to_string(i);
    unsigned status = 0;
    for (int attempt = 0; attempt < 5 && status != 202; ++attempt) {
      status = site.Call(site.JobRequest(all[(i * 7 + attempt) % all.size()],
                                         job, kItems))
                   .status;
      if (status != 202) site.caller().RunFor(300ms);
    }
    if (status != 202) return review::kCouldNotRun;
    jobs.push_back(job);
  }
  record.Line(std::to_string(kJobs) + " jobs are accepted");
  // Each is read whole, at a gateway that stays.
  std::vector<std::string> readers;
  for (size_t i = 0; i < stay.size(); i += 20) readers.push_back(stay[i]);
  const auto whole = [&](const std::string& gateway, const std::string& job,
                         unsigned* status) {
    const auto end = site.Results(gateway, job);
    *status = end.status;
    if (end.status != 200) return false;
    const json::value page = json::parse(end.body);
    return page.at("results").as_array().size() == kItems;
  };
  for (const std::string& job : jobs) {
    unsigned status = 0;
    if (!site.caller().RunUntil(
            [&] { return whole(readers.front(), job, &status); })) {
      record.Line(job + " was not completed");
      return review::kCouldNotRun;
    }
  }
  record.Line("all jobs are read whole at " + readers.front());
  if (trouble) {
    // The gateways of a zone are stopped in turn and leave.
    for (const std::string& gateway : leave) {
      site.process(gateway).Terminate();
      site.caller().RunFor(1000ms);  // gap_s 1
    }
    for (const std::string& gateway : leave) {
      site.caller().RunUntil([&] { return !site.process(gateway).running(); });
    }
    record.Line("the 13 gateways of " + std::string(kLeavingZone) +
                " have left after SIGTERM, with code " +
                std::to_string(site.process(leave.back()).exit_code()));
  } else {
    site.caller().RunFor(8000ms);
  }
  // recovery, and then reads for 15 s more at gateways that stay.
  site.caller().RunFor(8000ms);
  std::map<std::string, std::map<unsigned, int>> answers;
  std::set<std::string> read;
  const TimePoint until = MonotonicNow() + 15s;
  while (MonotonicNow() < until) {
    for (const std::string& job : jobs) {
      if (read.contains(job)) continue;
      for (const std::string& reader : readers) {
        unsigned status = 0;
        if (whole(reader, job, &status)) read.insert(job);
        ++answers[job][status];
      }
    }
    site.caller().RunFor(500ms);
  }
  for (const std::string& job : jobs) {
    if (read.contains(job)) continue;
    std::string text;
    for (const auto& [status, count] : answers[job]) {
      text += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    record.Line("BROKEN: " + job + " can't be read any more; answers by status" +
                text);
  }
  const size_t lost = jobs.size() - read.size();
  record.Line(std::to_string(lost) + " of " + std::to_string(kJobs) +
              " completed jobs, read before, can't be read at any of " +
              std::to_string(readers.size()) + " gateways");
  record.Line(lost > 0 ? "BROKEN: LOST" : "held");
  return lost > 0 ? review::kBroken : review::kHeld;
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
