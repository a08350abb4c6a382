#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "base/rng.h"
#include "serving/crashing_parts.h"

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr uint64_t kPart = 5;
constexpr milliseconds kStep{10};
constexpr milliseconds kReportInterval{250};
constexpr size_t kServers = 6;

struct Settings {
  uint64_t seed = 1;
  size_t gateways = 4;
  bool guilty = false;  // each request with the part ends its server
  double requests_per_s = 10;
  size_t older = 0;  // gateways that know nothing of trials
};

// Gateways and requests with one part, after all servers crashed twice.
class Fleet {
 public:
  explicit Fleet(const Settings& settings)
      : settings_(settings), rng_(settings.seed) {
    for (size_t i = 0; i < settings.gateways; ++i)
      gateways_.emplace_back(settings.seed * 1000 + i);
    CrashAll();
    now_ += seconds(1);
    CrashAll();
    RunFor(seconds(2));
  }

  void RunFor(seconds time) {
    for (const TimePoint until = now_ + time; now_ < until; now_ += kStep) {
      if (UniformUnit(rng_) < settings_.requests_per_s * 0.01) Arrive();
      EndTrials();
      if (now_ >= report_at_) Report();
      for (CrashingParts& gateway : gateways_) gateway.Update(now_);
    }
  }

  size_t Quarantining() const {
    return static_cast<size_t>(std::count_if(
        gateways_.begin(), gateways_.end(),
        [](const auto& gateway) { return gateway.quarantined() > 0; }));
  }
  const std::vector<TimePoint>& trials() const noexcept { return trials_; }
  TimePoint now() const noexcept { return now_; }

 private:
  struct Trial {
    size_t gateway = 0;
    TimePoint sent_at;
    TimePoint ends_at;
  };

  static std::vector<uint64_t> Parts() { return {kPart}; }

  void CrashAll() {
    for (size_t i = 0; i < kServers; ++i)
      Crash(i % gateways_.size(), now_, now_ + milliseconds(80));
  }
  void Crash(size_t gateway, TimePoint sent_at, TimePoint ended_at) {
    const ServerCrash crash{.process = ServerProcessId(++last_id_),
                            .request = last_id_,
                            .sent_at = sent_at,
                            .ended_at = ended_at};
    gateways_[gateway].OnCrash(Parts(), crash);
  }
  void Arrive() {
    const size_t index = UniformBelow(rng_, gateways_.size());
    CrashingParts& gateway = gateways_[index];
    if (!gateway.FindQuarantined(Parts())) return;
    const bool older = index < settings_.older;
    if (older || !gateway.MayTry(Parts(), now_))
      return gateway.OnRejected(kPart, now_);
    gateway.OnTrialSent(Parts(), now_);
    trials_.push_back(now_);
    const milliseconds duration{settings_.guilty ? 80 : 400};
    running_.push_back({index, now_, now_ + duration});
  }
  void EndTrials() {
    std::erase_if(running_, [this](const Trial& trial) {
      if (trial.ends_at > now_) return false;
      if (settings_.guilty) {
        Crash(trial.gateway, trial.sent_at, now_);
      } else {
        gateways_[trial.gateway].OnAnswered(Parts(), now_);
      }
      return true;
    });
  }
  void Report() {
    report_at_ = now_ + kReportInterval;
    for (size_t from = 0; from < gateways_.size(); ++from) {
      auto reports = gateways_[from].Report(now_);
      for (size_t to = 0; to < gateways_.size(); ++to) {
        if (to == from) continue;
        for (CrashingPartReport report : reports) {
          if (from < settings_.older || to < settings_.older) {
            report.next_trial_at.reset();
            report.failed_trials = 0;
          }
          gateways_[to].Merge(report, now_);
        }
      }
    }
  }

  Settings settings_;
  Rng rng_;
  TimePoint now_ = kNow;
  TimePoint report_at_ = kNow;
  uint64_t last_id_ = 0;
  std::vector<CrashingParts> gateways_;
  std::vector<Trial> running_;
  std::vector<TimePoint> trials_;
};

// A part that is quarantined for three crashes.
CrashingParts Quarantining(const std::vector<uint64_t>& parts) {
  CrashingParts tracker(1);
  for (uint64_t i = 1; i <= 3; ++i) {
    const TimePoint sent_at = kNow + i * milliseconds(100);
    tracker.OnCrash(parts, {.process = ServerProcessId(i),
                            .request = i,
                            .sent_at = sent_at,
                            .ended_at = sent_at + milliseconds(80)});
  }
  REQUIRE(tracker.Update(kNow + seconds(2)) == parts);
  return tracker;
}

// The first time at which a request may be sent as a trial.
TimePoint FirstTrial(CrashingParts& tracker, TimePoint from,
                     const std::vector<uint64_t>& parts) {
  const TimePoint until = from + seconds(400);
  for (TimePoint now = from; now < until; now += milliseconds(100)) {
    tracker.Update(now);
    if (tracker.MayTry(parts, now)) return now;
    tracker.OnRejected(parts.front(), now);
  }
  FAIL("the part is not tried again");
  return until;
}

}  // namespace

// Guards against a quarantine of a sound part that never ends while requests
// with it come, after all servers crashed twice for another reason.
TEST_CASE("a sound part is released at all gateways by a trial") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    for (const double requests_per_s : {1.0, 10.0, 50.0}) {
      for (const size_t gateways : {1, 4, 40}) {
        CAPTURE(seed, requests_per_s, gateways);
        Fleet fleet({.seed = seed,
                     .gateways = gateways,
                     .requests_per_s = requests_per_s});
        REQUIRE(fleet.Quarantining() == gateways);
        fleet.RunFor(seconds(58));
        CHECK(fleet.Quarantining() == 0);
        CHECK_FALSE(fleet.trials().empty());
        CHECK(fleet.trials().size() <= 3);
      }
    }
  }
}

// Guards against trials of a part that does crash servers: each costs one.
TEST_CASE("a guilty part is tried at growing pauses over the whole fleet") {
  size_t most = 0;
  size_t all = 0;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    for (const size_t gateways : {1, 4, 40}) {
      CAPTURE(seed, gateways);
      Fleet fleet({.seed = seed, .gateways = gateways, .guilty = true});
      const TimePoint quarantined_at = fleet.now();
      fleet.RunFor(seconds(120));
      most = std::max(most, fleet.trials().size());
      all += fleet.trials().size();
      REQUIRE_FALSE(fleet.trials().empty());
      CHECK(fleet.trials().size() <= 3);
      CHECK(fleet.Quarantining() == gateways);
      CHECK(fleet.trials().front() >= quarantined_at + seconds(15));
    }
  }
  // Two gateways rarely try at the same moment.
  CHECK(most <= 3);
  CHECK(all <= 2.2 * 90);
}

// Guards against a quarantine that refusals lengthen.
TEST_CASE("refusals do not put off the next trial") {
  const std::vector<uint64_t> parts = {kPart};
  CrashingParts refusing = Quarantining(parts);
  CrashingParts quiet = refusing;
  const TimePoint due = FirstTrial(refusing, kNow + seconds(2), parts);
  CHECK(due <= kNow + seconds(45));
  CHECK_FALSE(quiet.MayTry(parts, due - milliseconds(100)));
  CHECK(quiet.MayTry(parts, due));
}

// Guards against a long pause after a trial whose server ended with many others
// for another reason.
TEST_CASE("a trial under which many servers crash at once counts for nothing") {
  const std::vector<uint64_t> parts = {kPart};
  for (const bool common : {false, true}) {
    CAPTURE(common);
    CrashingParts tracker = Quarantining(parts);
    const TimePoint sent_at = FirstTrial(tracker, kNow + seconds(2), parts);
    tracker.OnTrialSent(parts, sent_at);
    CHECK_FALSE(tracker.MayTry(parts, sent_at));
    const TimePoint ended_at = sent_at + milliseconds(80);
    tracker.OnCrash(parts, {.process = ServerProcessId(10),
                            .request = 10,
                            .sent_at = sent_at,
                            .ended_at = ended_at});
    for (uint64_t other = 11; common && other < 15; ++other) {
      const std::vector<uint64_t> other_parts = {other};
      tracker.OnCrash(other_parts, {.process = ServerProcessId(other),
                                    .request = other,
                                    .sent_at = sent_at,
                                    .ended_at = ended_at + milliseconds(30)});
    }
    const Duration pause = FirstTrial(tracker, ended_at, parts) - sent_at;
    CHECK(pause >= (common ? seconds(20) : seconds(60)));
    CHECK(pause <= (common ? seconds(45) : seconds(85)));
  }
}

// Guards against a trial of a request that has a second quarantined part.
TEST_CASE("a request is a trial only if all of its parts are due") {
  const std::vector<uint64_t> parts = {kPart};
  CrashingParts tracker = Quarantining(parts);
  const TimePoint due = FirstTrial(tracker, kNow + seconds(2), parts);
  const uint64_t second = 9;
  CrashingPartReport report{.part = second,
                            .quarantined_until = due + seconds(60),
                            .next_trial_at = due + seconds(30)};
  tracker.Merge(report, due);
  const std::vector<uint64_t> both = {kPart, second};
  CHECK_FALSE(tracker.MayTry(both, due));
  CHECK(tracker.MayTry(parts, due));
}

// Guards against gateways of a version without trials that keep a quarantine
// alive, or are left with it.
TEST_CASE("gateways without trials learn of the release") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Fleet fleet({.seed = seed, .older = 2});
    REQUIRE(fleet.Quarantining() == 4);
    fleet.RunFor(seconds(58));
    CHECK(fleet.Quarantining() == 0);
  }
}

}  // namespace knapweedstile::serving
