#ifndef KNAPWEEDSTILE_ADMISSION_BURST_MODEL_H_
#define KNAPWEEDSTILE_ADMISSION_BURST_MODEL_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "admission/freeing_rate.h"
#include "admission/return_schedule.h"
#include "admission/wait_queue.h"
#include "base/rng.h"

namespace knapweedstile::admission {

// Gateways before one pool of slots with a short queue. Callers arrive in steps
// and bursts, and return once when they are rejected.
class BurstModel {
 public:
  struct Settings {
    uint64_t seed = 1;
    size_t gateways = 4;
    size_t slots = 96;
    double run_seconds = 0.6;
    double valley_rate = 28;
    double peak_rate = 136;
    double valley_seconds = 3.6;
    double peak_seconds = 2.4;
    double burst_factor = 1;
    double burst_seconds = 5;
    double burst_at = 36;
    double end = 60;
    double objective = 0.3;
    double caller_seconds = 5;
    bool waits = false;
    double wait_share = 0.25;  // of the objective
    bool promises = false;
  };
  struct Outcome {
    int requests = 0;
    int in_time = 0;        // at the first attempt
    int in_time_again = 0;  // within the objective of the second attempt
    int late = 0;
    int rejected = 0;            // for good
    int waited = 0;              // attempts that were not placed at once
    int waited_in_vain = 0;      // of these, rejected in the end
    double longest_in_vain = 0;  // seconds

    // A late response is worth little, one in time at the second attempt the
    // mean of both.
    double Worth() const {
      constexpr double kLate = 0.15;
      return (in_time + (1 + kLate) / 2 * in_time_again + kLate * late) /
             requests;
    }
    Outcome& operator+=(const Outcome& other) {
      requests += other.requests;
      in_time += other.in_time;
      in_time_again += other.in_time_again;
      late += other.late;
      rejected += other.rejected;
      waited += other.waited;
      waited_in_vain += other.waited_in_vain;
      longest_in_vain = std::max(longest_in_vain, other.longest_in_vain);
      return *this;
    }
  };

  // Peaks beyond all slots, without a burst.
  static Settings AlternatingPeaks(size_t gateways) {
    return {.gateways = gateways,
            .valley_rate = 40,
            .peak_rate = 230,
            .valley_seconds = 3.0,
            .peak_seconds = 2.2};
  }

  explicit BurstModel(const Settings& settings)
      : settings_(settings), rng_(settings.seed) {
    for (size_t g = 0; g < settings.gateways; ++g) {
      gateways_.push_back({.returns = ReturnSchedule(settings.seed + 100 + g)});
    }
  }

  Outcome Run() {
    for (double at = 0; at < settings_.end;) {
      at += -std::log(1 - UniformUnit(rng_)) / Rate(at);
      events_.push({at, Kind::kArrival, callers_.size()});
      callers_.push_back({.came = at});
    }
    outcome_.requests = static_cast<int>(callers_.size());
    for (double at = 0; at < settings_.end + 10; at += kTick) {
      events_.push({at, Kind::kTick, 0});
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      if (event.kind == Kind::kArrival) Arrive(event.subject);
      if (event.kind == Kind::kEnd) End(event.subject);
      if (event.kind == Kind::kTick) Tick();
    }
    return outcome_;
  }

 private:
  static constexpr double kTick = 0.02;
  static constexpr double kReportEvery = 0.25;
  static constexpr double kFirstEventSeconds = 0.025;

  enum class Kind { kArrival, kEnd, kTick };
  struct Event {
    double at;
    Kind kind;
    size_t subject;
    bool operator<(const Event& other) const { return at > other.at; }
  };
  struct Caller {
    double came = 0;
    double attempt = 0;
    bool again = false;
    size_t gateway = 0;
  };
  struct Gateway {
    FreeingRate rate;
    WaitQueue queue;
    ReturnSchedule returns;
  };

  double Rate(double at) const {
    const bool burst = at >= settings_.burst_at &&
                       at < settings_.burst_at + settings_.burst_seconds;
    const double in_cycle =
        std::fmod(at, settings_.valley_seconds + settings_.peak_seconds);
    return (in_cycle < settings_.peak_seconds ? settings_.peak_rate
                                              : settings_.valley_rate) *
           (burst ? settings_.burst_factor : 1);
  }
  TimePoint At(double at) const { return TimePoint{} + FromSeconds(1000 + at); }
  TimePoint Now() const { return At(now_); }
  uint32_t Slots() const { return static_cast<uint32_t>(settings_.slots); }

  void Arrive(size_t id) {
    Caller& caller = callers_[id];
    caller.attempt = now_;
    caller.gateway = UniformBelow(rng_, gateways_.size());
    Gateway& gateway = gateways_[caller.gateway];
    gateway.returns.OnArrival(Now());
    gateway.rate.OnOffered(Now());
    if (gateway.queue.empty() && Place(id)) return;
    gateway.rate.OnSaturated(Slots(), Now());
    const bool as_asked = gateway.returns.TakeReturn(id, Now());
    const SlotFlow rate = gateway.rate.Flow(Slots(), Now());
    const double start_by = now_ + settings_.wait_share * settings_.objective;
    const WaitRequest request{
        .id = ExchangeId(id + 1),
        .returns_as_asked = as_asked,
        .deadline = At(caller.came + settings_.caller_seconds),
        .start_by = At(start_by)};
    if (settings_.waits &&
        gateway.queue.Offer(request, rate, Now(), At(next_tick_)) ==
            WaitVerdict::kWaits) {
      return Serve(gateway, now_);
    }
    Reject(id);
  }

  // A request may queue for half of the objective at the servers.
  bool Place(size_t id) {
    const double per_place =
        settings_.run_seconds / static_cast<double>(settings_.slots);
    const double wait = static_cast<double>(queued_.size()) * per_place;
    if (running_ >= settings_.slots && wait > settings_.objective / 2) {
      return false;
    }
    queued_.push_back(id);
    StartQueued();
    return true;
  }

  void StartQueued() {
    while (running_ < settings_.slots && !queued_.empty()) {
      ++running_;
      const size_t id = queued_.front();
      queued_.pop_front();
      Count(callers_[id]);
      events_.push(
          {now_ + settings_.run_seconds * (0.7 + 0.6 * UniformUnit(rng_)),
           Kind::kEnd, id});
    }
  }

  void Count(const Caller& caller) {
    const double first_event = now_ + kFirstEventSeconds;
    if (first_event - caller.came <= settings_.objective) {
      ++outcome_.in_time;
    } else if (caller.again &&
               first_event - caller.attempt <= settings_.objective) {
      ++outcome_.in_time_again;
    } else {
      ++outcome_.late;
    }
  }

  void End(size_t id) {
    --running_;
    StartQueued();
    Gateway& gateway = gateways_[callers_[id].gateway];
    gateway.rate.OnFreed(Now());
    Serve(gateway, now_);
  }

  // `next_check`: those whose time ends before are rejected now.
  void Serve(Gateway& gateway, double next_check) {
    if (!gateway.queue.empty()) gateway.rate.OnSaturated(Slots(), Now());
    for (const ExchangeId id : gateway.queue.Ids()) {
      if (!Place(id.value() - 1)) break;
      if (now_ > callers_[id.value() - 1].attempt) ++outcome_.waited;
      gateway.queue.Remove(id);
    }
    const SlotFlow rate = gateway.rate.Flow(Slots(), Now());
    for (const auto& one :
         gateway.queue.TakeHopeless(rate, Now(), At(next_check))) {
      Reject(one.id.value() - 1);
    }
  }

  void Tick() {
    next_tick_ = now_ + kTick;
    for (Gateway& gateway : gateways_) Serve(gateway, now_ + kTick);
    if (now_ < reported_at_ + kReportEvery) return;
    reported_at_ = now_;
    for (size_t from = 0; from < gateways_.size(); ++from) {
      for (size_t to = 0; to < gateways_.size(); ++to) {
        if (from == to) continue;
        gateways_[to].returns.SetPeerReturns(
            std::to_string(from), gateways_[from].returns.Promised(Now()),
            Now());
      }
    }
  }

  void Reject(size_t id) {
    Caller& caller = callers_[id];
    if (now_ > caller.attempt) {
      ++outcome_.waited;
      ++outcome_.waited_in_vain;
      outcome_.longest_in_vain =
          std::max(outcome_.longest_in_vain, now_ - caller.attempt);
    }
    if (caller.again) {
      ++outcome_.rejected;
      return;
    }
    caller.again = true;
    Gateway& gateway = gateways_[caller.gateway];
    const double left = caller.came + settings_.caller_seconds - now_;
    double after = left * (1.0 / 6 + UniformUnit(rng_) / 6);
    if (settings_.promises) {
      after = ToSeconds(gateway.returns.Promise(
          id, FromSeconds(left), std::chrono::milliseconds(300),
          gateway.rate.Flow(Slots(), Now()).freed_per_second, Now()));
    }
    events_.push({now_ + after, Kind::kArrival, id});
  }

  Settings settings_;
  Rng rng_;
  double now_ = 0;
  double reported_at_ = 0;
  double next_tick_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Caller> callers_;
  std::vector<Gateway> gateways_;
  std::deque<size_t> queued_;
  size_t running_ = 0;
  Outcome outcome_;
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_BURST_MODEL_H_
