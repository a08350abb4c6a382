// A result that is read at one gateway is missing at the others: see claim.txt.
#include <set>
#include <vector>

#include "record-2.hpp"
#include "store_proxy-2.hpp"
#include "users_platform/site.h"

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;
using knapweedstile::Duration;
using knapweedstile::ExchangeId;
using knapweedstile::MonotonicNow;
using knapweedstile::TimePoint;
using knapweedstile::users_site::ModelServer;
using knapweedstile::users_site::Site;

constexpr Duration kSettle = 1000ms;   // settle_ms
constexpr Duration kContact = 3000ms;  // contact_ms
constexpr char kJob[] = "job-ended";

struct Read {
  std::string gateway;
  size_t after = 0;
  TimePoint sent_at;
};

int Run(const std::string& record_file) {
  review::Record record(record_file);
  const bool trouble = review::WithTrouble();
  record.Line(trouble ? "with the disruption" : "without the disruption");
  Site site;
  // The platform's store: one write is done late and not answered.
  bool lost = false;
  TimePoint lost_at{};
  TimePoint segment_sent_at{};
  TimePoint executed_at{};
  std::map<std::string, std::unique_ptr<review::StoreProxy>> proxies;
  site.interpose = [&](const std::string& who, const std::string& address) {
    if (!who.starts_with("store/")) return address;
    auto& proxy = proxies[who];
    proxy = std::make_unique<review::StoreProxy>(
        site.caller().io(), address,
        [&](const review::StoreProxy::Write& write)
            -> std::optional<std::chrono::milliseconds> {
          const bool segment =
              write.name.starts_with(std::string("segment.") + kJob);
          if (segment && segment_sent_at == TimePoint{}) {
            segment_sent_at = MonotonicNow();
          }
          if (!trouble || lost || !segment) return std::nullopt;
          lost = true;
          lost_at = MonotonicNow();
          record.Line("store: write of " + write.name +
                      " gets no answer, done 5 s later");
          return 5000ms;
        });
    proxy->on_write = [&, who](const review::StoreProxy::Write& write,
                               unsigned status, bool late) {
      if (late) executed_at = MonotonicNow();
      record.Line(who + " " + write.method + " " + write.name + " -> " +
                  std::to_string(status) + (late ? " (late)" : ""));
    };
    return proxy->address();
  };
  for (int i = 1; i <= 3; ++i) {
    ModelServer& server = site.AddServer("llm", "i-" + std::to_string(i), 8);
    server.slots = 8;
    server.events = 40;
    server.event_interval = 30ms;
  }
  site.Configure(2);
  site.AddGateway("front-1");
  site.AddGateway("front-2");
  record.Line("front-1 and front-2 are ready");
  site.caller().RunFor(5000ms);
  // Planned work long before the disruption: a machine is added (add_nodes).
  site.AddGateway("front-3");
  record.Line("front-3 is added");
  const std::vector<std::string> gateways = {"front-1", "front-2", "front-3"};
  site.caller().RunFor(4000ms);
  // Other jobs: their writes are answered.
  for (int i = 0; i < 6; ++i) {
    const std::string job = "other-" + std::to_string(i);
    const auto end = site.Call(site.JobRequest(gateways[i % 3], job, 4));
    record.Line("POST " + job + " at " + gateways[i % 3] + " -> " +
                std::to_string(end.status));
    if (end.status != 202) return review::kCouldNotRun;
    site.caller().RunFor(200ms);
  }
  const auto accepted = site.Call(site.JobRequest("front-1", kJob, 40));
  record.Line(std::string("POST ") + kJob + " at front-1 -> " +
              std::to_string(accepted.status));
  if (accepted.status != 202) return review::kCouldNotRun;
  if (!site.caller().RunUntil([&] { return segment_sent_at != TimePoint{}; })) {
    return review::kCouldNotRun;
  }
  // The client ends its job.
  site.caller().RunFor(500ms);
  const auto ended = site.EndJob("front-2", kJob);
  record.Line(std::string("DELETE ") + kJob + " at front-2 -> " +
              std::to_string(ended.status));
  if (ended.status != 200) return review::kCouldNotRun;

  // Readers at all gateways, twice a second, from the start of the results.
  std::map<size_t, TimePoint> read_at;        // by position
  std::map<size_t, std::string> read_where;
  std::map<size_t, std::string> content;
  std::map<ExchangeId, Read> open;
  std::map<std::string, size_t> next;  // where each reader goes on
  int broken = 0;
  int round = 0;
  TimePoint next_round = MonotonicNow();
  const TimePoint stop_at = MonotonicNow() + 26s;
  while (MonotonicNow() < stop_at || !open.empty()) {
    if (MonotonicNow() >= next_round && MonotonicNow() < stop_at) {
      next_round += 500ms;
      ++round;
      for (const std::string& gateway : gateways) {
        // Each reader goes on where it is, and every fourth time reads from
        // the start.
        const size_t after = round % 4 == 0 ? 0 : next[gateway];
        knapweedstile::http::ClientRequest request;
        request.address = site.caller_address(gateway);
        request.target = std::string("/-/lots/") + kJob +
                         "?after=" + std::to_string(after);
        request.headers.Add("Host", knapweedstile::users_site::kHost);
        open[site.caller().Begin(std::move(request))] = {
            gateway, after, MonotonicNow()};
      }
    }
    site.caller().RunFor(10ms);
    // Judged only while the store has been without disruption for contact_ms:
    // counted from the late execution, the most cautious moment.
    const TimePoint from =
        trouble ? (executed_at == TimePoint{} ? knapweedstile::kNever
                                              : executed_at + kContact)
                : TimePoint{};
    for (auto at = open.begin(); at != open.end();) {
      const auto& answer = site.caller().answer(at->first);
      if (!answer.end) {
        ++at;
        continue;
      }
      const Read read = at->second;
      std::string line = "GET " + std::string(kJob) + " at " + read.gateway +
                         " after " + std::to_string(read.after) + " sent " +
                         std::to_string(record.Seconds(read.sent_at)) +
                         " -> " + std::to_string(answer.end->status);
      if (answer.end->status == 200) {
        const auto page = json::parse(answer.end->body).as_object();
        const auto& results = page.at("results").as_array();
        line += " results " + std::to_string(results.size());
        const bool counts = read.sent_at >= from;
        for (size_t i = 0; i < results.size(); ++i) {
          const size_t p = read.after + i;
          const std::string text = json::serialize(results[i]);
          if (content.try_emplace(p, text).first->second != text) {
            ++broken;
            line += " BROKEN: another result at position " + std::to_string(p);
          }
          if (counts && !read_at.contains(p)) {
            read_at[p] = MonotonicNow();
            read_where[p] = read.gateway;
          }
        }
        next[read.gateway] =
            std::max(next[read.gateway], read.after + results.size());
        const auto seen = read_at.find(read.after);
        if (results.empty() && seen != read_at.end() &&
            read.sent_at > seen->second + kSettle) {
          ++broken;
          line += " BROKEN: nothing at position " + std::to_string(read.after) +
                  ", which was read at " + read_where[read.after] + " " +
                  std::to_string(knapweedstile::ToSeconds(
                      read.sent_at - seen->second)) +
                  " s before";
        }
      } else if (answer.end->status == 404 || answer.end->status == 410) {
        ++broken;
        line += " BROKEN: an accepted job is not known";
      }
      record.Line(line);
      at = open.erase(at);
    }
  }
  int writes = 0;
  for (const auto& [who, proxy] : proxies) writes += proxy->writes();
  record.Line("writes to the store: " + std::to_string(writes) +
              ", not answered: " + (lost ? "1" : "0"));
  if (trouble && executed_at == TimePoint{}) return review::kCouldNotRun;
  record.Line(broken > 0 ? "BROKEN: LOST, " + std::to_string(broken) + " answers"
                         : "held");
  return broken > 0 ? review::kBroken : review::kHeld;
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
