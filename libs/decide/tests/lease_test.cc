#include "decide/lease.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/rng.h"

namespace knapweedstile::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(100);

// The store: one object, one history.
struct Store {
  uint64_t version = 0;
  LeaseRecord record;
  std::vector<uint64_t> acquired_fences;  // of accepted acquisitions

  std::optional<uint64_t> Write(const LeaseWriteAction& write) {
    if (write.if_version != version) return std::nullopt;
    if (write.record.fence != record.fence || version == 0) {
      acquired_fences.push_back(write.record.fence);
    }
    record = write.record;
    return ++version;
  }
};

// One process with a lease, a clock of its own, a slow link to the store that
// may lose answers, and pauses.
class Process {
 public:
  Process(const LeaseSettings& settings, std::string name, Duration offset,
          Store& store, Rng& rng)
      : lease_(settings, std::move(name)),
        offset_(offset),
        store_(store),
        rng_(rng) {}

  void Step(TimePoint world) {
    const TimePoint now = world + offset_;
    Reach(now);
    if (Chance(0.002)) paused_until_ = now + Random(seconds(40));
    if (now < paused_until_) return;
    if (answer_ && now >= answer_at_) Deliver(now);
    std::vector<LeaseAction> actions;
    if (lease_.NextWake() <= now) lease_.OnTick(now, actions);
    Apply(now, actions);
  }

  // What the process would answer if it were asked at this moment, also while
  // it is about to pause.
  bool Held(TimePoint world) const { return lease_.Held(world + offset_); }
  uint64_t fence() const { return lease_.fence(); }
  int acquisitions = 0;

 private:
  struct Answer {
    bool read = false;
    LeaseOutcome outcome = LeaseOutcome::kUnknown;
    uint64_t version = 0;
    LeaseRecord record;
  };

  bool Chance(double p) { return UniformUnit(rng_) < p; }
  Duration Random(Duration bound) {
    return FromSeconds(ToSeconds(bound) * UniformUnit(rng_));
  }

  // The request reaches the store, whether or not the process still waits.
  void Reach(TimePoint now) {
    if (!request_ || now < reach_at_) return;
    answer_ = Answer{};
    if (const auto* write = std::get_if<LeaseWriteAction>(&*request_)) {
      const auto version = store_.Write(*write);
      answer_->outcome =
          version ? LeaseOutcome::kDone : LeaseOutcome::kConflict;
      answer_->version = version.value_or(0);
    } else {
      answer_->read = true;
      answer_->outcome =
          store_.version ? LeaseOutcome::kDone : LeaseOutcome::kAbsent;
      answer_->version = store_.version;
      answer_->record = store_.record;
    }
    if (Chance(0.15)) answer_->outcome = LeaseOutcome::kUnknown;
    answer_at_ = now + Random(seconds(2));
    request_.reset();
  }

  void Deliver(TimePoint now) {
    const Answer answer = *answer_;
    answer_.reset();
    std::vector<LeaseAction> actions;
    if (answer.read) {
      lease_.OnRead(now, answer.outcome, answer.version, answer.record,
                    actions);
    } else {
      lease_.OnWrite(now, answer.outcome, answer.version, actions);
    }
    Apply(now, actions);
  }

  void Apply(TimePoint now, const std::vector<LeaseAction>& actions) {
    for (const LeaseAction& action : actions) {
      if (std::holds_alternative<LeaseAcquiredAction>(action)) ++acquisitions;
      if (action.index() > 1) continue;
      REQUIRE_FALSE(request_);
      REQUIRE_FALSE(answer_);
      request_ = action;
      reach_at_ = now + Random(Chance(0.1) ? seconds(20) : seconds(1));
    }
  }

  Lease lease_;
  Duration offset_;
  Store& store_;
  Rng& rng_;
  TimePoint paused_until_;
  std::optional<LeaseAction> request_;
  TimePoint reach_at_;
  std::optional<Answer> answer_;
  TimePoint answer_at_;
};

struct Outcome {
  int overlaps = 0;
  int acquisitions = 0;
  bool fences_rise = true;
};

Outcome RunTwo(const LeaseSettings& settings, uint64_t seed) {
  Rng rng(seed);
  Store store;
  Process a(settings, "a", seconds(1000), store, rng);
  Process b(settings, "b", seconds(77), store, rng);
  Outcome outcome;
  TimePoint world = TimePoint(std::chrono::hours(1));
  for (int i = 0; i < 20000; ++i, world += kStep) {
    a.Step(world);
    b.Step(world);
    outcome.overlaps += a.Held(world) && b.Held(world);
  }
  outcome.acquisitions = a.acquisitions + b.acquisitions;
  for (size_t i = 1; i < store.acquired_fences.size(); ++i) {
    outcome.fences_rise &=
        store.acquired_fences[i] > store.acquired_fences[i - 1];
  }
  return outcome;
}

Outcome RunSeeds(const LeaseSettings& settings) {
  Outcome sum;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    const Outcome one = RunTwo(settings, seed);
    sum.overlaps += one.overlaps;
    sum.acquisitions += one.acquisitions;
    sum.fences_rise &= one.fences_rise;
  }
  return sum;
}

// Two entries ask for one shard of batch jobs. They pause, their requests to
// the store are slow, answers are lost after the change has taken effect.
// An operator must never see two owners at once, nor a fence given twice, and
// the shard must change hands again and again.
TEST_CASE(
    "two holders of a lease never overlap under pauses and lost answers") {
  const Outcome outcome = RunSeeds({});
  REQUIRE(outcome.overlaps == 0);
  REQUIRE(outcome.fences_rise);
  REQUIRE(outcome.acquisitions > 400);
}

// The same with one rule taken out: two owners are seen at once.
TEST_CASE("a lease overlaps when a rule is taken out") {
  REQUIRE(RunSeeds({.count_from_sending = false}).overlaps > 0);
  REQUIRE(RunSeeds({.wait_for_term = false}).overlaps > 0);
}

// The answer to an acquisition is lost after it has taken effect. The process
// reads the object, finds its own write and holds the lease under that fence.
TEST_CASE("a lost answer is settled by reading the writer back") {
  Lease lease({}, "a");
  std::vector<LeaseAction> actions;
  TimePoint now = TimePoint(seconds(100));
  lease.OnTick(now, actions);
  lease.OnRead(now, LeaseOutcome::kAbsent, 0, {}, actions);
  REQUIRE(actions.size() == 2);
  const auto write = std::get<LeaseWriteAction>(actions[1]);
  REQUIRE(write.if_version == 0);
  lease.OnWrite(now + seconds(1), LeaseOutcome::kUnknown, 0, actions);
  REQUIRE_FALSE(lease.Held(now + seconds(1)));
  now = lease.NextWake();
  lease.OnTick(now, actions);
  lease.OnRead(now, LeaseOutcome::kDone, 7, write.record, actions);
  REQUIRE(lease.Held(now));
  REQUIRE(lease.fence() == write.record.fence);
  REQUIRE(lease.valid_until() < TimePoint(seconds(100)) + seconds(15));
}

// A planned stop: the holder releases, and the next one need not wait.
TEST_CASE("a released lease is taken at once under a higher fence") {
  Store store;
  std::vector<LeaseAction> actions;
  Lease first({}, "a");
  const TimePoint now = TimePoint(seconds(100));
  first.OnTick(now, actions);
  first.OnRead(now, LeaseOutcome::kAbsent, 0, {}, actions);
  first.OnWrite(now, LeaseOutcome::kDone,
                *store.Write(std::get<LeaseWriteAction>(actions[1])), actions);
  REQUIRE(first.Held(now));
  actions.clear();
  first.Release(now + seconds(1), actions);
  REQUIRE_FALSE(first.Held(now + seconds(1)));
  // The release follows a read, since the object may have changed.
  first.OnRead(now + seconds(1), LeaseOutcome::kDone, store.version,
               store.record, actions);
  REQUIRE(store.Write(std::get<LeaseWriteAction>(actions.back())));
  REQUIRE(store.record.released);

  Lease second({}, "b");
  actions.clear();
  second.OnTick(now + seconds(2), actions);
  second.OnRead(now + seconds(2), LeaseOutcome::kDone, store.version,
                store.record, actions);
  REQUIRE(store.Write(std::get<LeaseWriteAction>(actions.back())));
  REQUIRE(store.record.fence > first.fence());
}

}  // namespace
}  // namespace knapweedstile::decide
