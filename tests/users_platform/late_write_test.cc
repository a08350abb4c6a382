#include <catch2/catch.hpp>
#include <functional>
#include <optional>

#include "base/clock.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What one gateway has shown, all others show within this time.
constexpr milliseconds kSettle{1000};
constexpr milliseconds kLateBy{5000};
constexpr char kKind[] = "knapweedstile";
constexpr char kJob[] = "job-a";

// Gateways that read the store at different moments, since they were started
// some seconds apart.
struct LateSite {
  Site site;
  std::vector<std::string> gateways;

  LateSite() {
    ModelServer& server = site.AddServer("llm", "i-1", 8);
    server.slots = 8;
    server.events = 20;
    server.event_interval = milliseconds(20);
    site.Configure(2);
    for (const char* name : {"front-1", "front-2", "front-3"}) {
      AddGateway(name);
      site.caller().RunFor(seconds(3));
    }
  }
  void AddGateway(const std::string& name) {
    site.AddGateway(name);
    gateways.push_back(name);
  }
  // Submits a job the first write of whose results is late, and waits until
  // that write has been sent.
  void SubmitWithLateResults() {
    site.store().HoldCreations(std::string("segment.") + kJob, 1, kLateBy);
    REQUIRE(site.Call(site.JobRequest("front-1", kJob, 40)).status == 202);
    REQUIRE(site.caller().RunUntil(
        [&] { return site.store().held_creations() == 0; }));
  }
  std::string Owner() {
    const json::value spec =
        site.store().Spec(kKind, std::string("job.") + kJob);
    return std::string(spec.at("creator").as_string());
  }
  // A gateway that does not own the job.
  std::string Other() { return Owner() == "front-2" ? "front-3" : "front-2"; }
  // Reads at all gateways until each has shown, and for some seconds after the
  // first has. Returns the number of reads that were sent later than kSettle
  // after that and did not show it.
  int CountLateReads(const std::function<bool(const http::EndEvent&)>& shows) {
    constexpr seconds kPatience{30};
    constexpr seconds kWatched{12};
    std::optional<TimePoint> first_shown;
    int late = 0;
    const TimePoint give_up_at = MonotonicNow() + kPatience;
    while (MonotonicNow() <
           (first_shown ? *first_shown + kWatched : give_up_at)) {
      for (const std::string& gateway : gateways) {
        if (!site.process(gateway).running()) continue;
        const TimePoint sent_at = MonotonicNow();
        if (shows(site.Results(gateway, kJob))) {
          if (!first_shown) first_shown = MonotonicNow();
        } else if (first_shown && sent_at > *first_shown + kSettle) {
          ++late;
        }
      }
      site.caller().RunFor(milliseconds(100));
    }
    REQUIRE(first_shown);
    return late;
  }
};

bool HasResults(const http::EndEvent& end) {
  if (end.status != 200) return false;
  return !json::parse(end.body).at("results").as_array().empty();
}

bool IsKnown(const http::EndEvent& end) { return end.status == 200; }

}  // namespace

// Guards against results that one gateway finds seconds before the others: the
// write got no response, and the job has ended before it took effect.
TEST_CASE("late results of an ended job are shown by all gateways") {
  LateSite late;
  late.SubmitWithLateResults();
  late.site.caller().RunFor(milliseconds(500));
  REQUIRE(late.site.EndJob(late.Other(), kJob).status == 200);
  CHECK(late.CountLateReads(HasResults) == 0);
}

// Guards against results that nobody announces, since their writer was killed
// after sending them; its next process does not know of them.
TEST_CASE("late results of a killed writer are shown by all gateways") {
  LateSite late;
  late.SubmitWithLateResults();
  const std::string owner = late.Owner();
  REQUIRE(late.site.EndJob(late.Other(), kJob).status == 200);
  late.site.process(owner).Kill();
  SECTION("its next process has started") { late.site.RestartGateway(owner); }
  SECTION("it stays away") {}
  late.AddGateway("front-4");
  CHECK(late.CountLateReads(HasResults) == 0);
}

// Guards against a writer that gives up results of unknown fate because the
// store can't be asked.
TEST_CASE("late results are shown by all gateways after an outage") {
  LateSite late;
  late.SubmitWithLateResults();
  REQUIRE(late.site.EndJob(late.Other(), kJob).status == 200);
  late.site.store().SetHealth(ObjectStore::Health::kUnavailable);
  late.site.caller().RunFor(kLateBy + seconds(1));
  late.site.store().SetHealth(ObjectStore::Health::kHealthy);
  CHECK(late.CountLateReads(HasResults) == 0);
}

// Guards against a job that is known to one gateway only, because its record
// was written after its caller was told that it may have been accepted.
TEST_CASE("a job that is written late is known to all gateways") {
  LateSite late;
  constexpr int kAllAttempts = 9;
  late.site.store().HoldCreations(std::string("job.") + kJob, kAllAttempts,
                                  kLateBy);
  CHECK(late.site.Call(late.site.JobRequest("front-1", kJob, 4)).status == 504);
  late.site.store().HoldCreations("", 0, kLateBy);
  CHECK(late.CountLateReads(IsKnown) == 0);
}

}  // namespace knapweedstile::users_site
