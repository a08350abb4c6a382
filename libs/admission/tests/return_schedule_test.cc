#include "admission/return_schedule.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <queue>

namespace knapweedstile::admission {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr milliseconds kLeft{5000};
constexpr milliseconds kBacklog{300};

// Peaks of 2.2 s after valleys of 3.0 s.
TimePoint LearnPeaks(ReturnSchedule& schedule) {
  Rng rng(5);
  double at = 0;
  while (at < 31.2) {
    schedule.OnArrival(kStart + FromSeconds(at));
    const bool valley = std::fmod(at, 5.2) < 3.0;
    at += -std::log(1 - UniformUnit(rng)) / (valley ? 8 : 45);
  }
  return kStart + FromSeconds(31.2);
}

constexpr double kStep = 0.01;           // seconds
constexpr double kRequestSeconds = 0.6;  // duration of a request
constexpr size_t kSlots = 96;
constexpr double kCallerTimeoutSeconds = 5.0;

// Three times the usual traffic for five seconds: a peak of two and a half
// times the capacity, a valley, then the usual peaks.
double ArrivalsPerSecond(double at) {
  const bool burst = at < 5.0;
  const bool peak = at < 2.4 || (at >= 6.0 && at < 8.4);
  return (peak ? 136 : 28) * (burst ? 3 : 1);
}

struct Outcome {
  int requests = 0;
  int served = 0;
  int rejected = 0;  // also on the retry
};

// Requests take a free slot, or are rejected and retry once.
Outcome Replay(
    const std::function<double(double at)>& retry_after,
    const std::function<void(double at)>& on_arrival = [](double) {}) {
  Outcome outcome;
  std::priority_queue<double, std::vector<double>, std::greater<>> ends;
  std::multimap<double, bool> retries;
  double due = 0;
  const auto try_start = [&](double at) {
    while (!ends.empty() && ends.top() <= at) ends.pop();
    if (ends.size() >= kSlots) return false;
    ends.push(at + kRequestSeconds);
    ++outcome.served;
    return true;
  };
  for (int step = 0; step * kStep < 10; ++step) {
    const double at = step * kStep;
    while (!retries.empty() && retries.begin()->first <= at) {
      retries.erase(retries.begin());
      on_arrival(at);
      if (!try_start(at)) ++outcome.rejected;
    }
    for (due += ArrivalsPerSecond(at) * kStep; due >= 1; due -= 1) {
      ++outcome.requests;
      on_arrival(at);
      if (!try_start(at)) retries.emplace(at + retry_after(at), true);
    }
  }
  return outcome;
}

// The usual peaks and valleys before the burst, which begins at kStart.
void LearnUsualPeaks(ReturnSchedule& schedule) {
  Rng rng(7);
  for (double at = -36; at < 0;) {
    schedule.OnArrival(kStart + FromSeconds(at));
    const bool peak = std::fmod(at + 36, 6.0) < 2.4;
    at += -std::log(1 - UniformUnit(rng)) / (peak ? 136 : 28);
  }
}

}  // namespace

// Guards against callers that retry too soon: traffic triples for five seconds,
// and callers with a short Retry-After meet the same peak, are rejected again
// and give up.
TEST_CASE("callers retry after a burst, not during it") {
  Rng rng(1);
  ReturnSchedule schedule(1);
  uint64_t caller = 0;
  const auto queue_based =
      Replay([&](double) { return 0.3 * (0.5 + UniformUnit(rng)); });
  const auto timeout_based = Replay([&](double at) {
    return ToSeconds(schedule.Promise(++caller,
                                      FromSeconds(kCallerTimeoutSeconds),
                                      kBacklog, 0, kStart + FromSeconds(at)));
  });
  CAPTURE(queue_based.requests, queue_based.rejected, timeout_based.rejected);
  REQUIRE(queue_based.rejected * 100 > queue_based.requests * 15);
  CHECK(timeout_based.rejected * 100 < queue_based.rejected * 80);
}

// Guards against the same where the rhythm of arrivals and the rate are known.
TEST_CASE("with a rhythm too, callers retry after a burst") {
  constexpr double kRate = kSlots / kRequestSeconds;
  Rng rng(1);
  ReturnSchedule schedule(1);
  LearnUsualPeaks(schedule);
  REQUIRE(schedule.HasRhythm(kStart));
  uint64_t caller = 0;
  const auto queue_based =
      Replay([&](double) { return 0.3 * (0.5 + UniformUnit(rng)); });
  const auto scheduled = Replay(
      [&](double at) {
        return ToSeconds(
            schedule.Promise(++caller, FromSeconds(kCallerTimeoutSeconds),
                             kBacklog, kRate, kStart + FromSeconds(at)));
      },
      [&](double at) { schedule.OnArrival(kStart + FromSeconds(at)); });
  CAPTURE(queue_based.requests, queue_based.rejected, scheduled.rejected);
  REQUIRE(queue_based.rejected * 100 > queue_based.requests * 15);
  CHECK(scheduled.rejected * 100 < queue_based.rejected * 80);
}

TEST_CASE("Retry-After never exceeds what the caller would wait") {
  ReturnSchedule unknown(1);
  ReturnSchedule rhythmic(1);
  const TimePoint now = LearnPeaks(rhythmic);
  REQUIRE(rhythmic.HasRhythm(now));
  REQUIRE_FALSE(unknown.HasRhythm(now));
  uint64_t caller = 0;
  for (const int left : {0, 10, 500, 5000, 60000}) {
    const Duration longest = milliseconds(left) / 3 + milliseconds(1);
    for (ReturnSchedule* schedule : {&unknown, &rhythmic}) {
      for (const int backlog : {0, 20000}) {
        CHECK(schedule->Promise(++caller, milliseconds(left),
                                milliseconds(backlog), 20, now) <= longest);
      }
    }
    // With a rhythm, not before a slot may be free.
    for (const int backlog : {0, 100, 1000, 20000}) {
      const Duration after = rhythmic.Promise(++caller, milliseconds(left),
                                              milliseconds(backlog), 20, now);
      CHECK(after >=
            std::min<Duration>(milliseconds(backlog), milliseconds(left) / 3) -
                milliseconds(1));
    }
    // Without a rhythm, late in the caller's time.
    CHECK(unknown.Promise(++caller, milliseconds(left), milliseconds(0), 20,
                          now) >= milliseconds(left) / 6 - milliseconds(1));
  }
}

// Guards against returns into the peak that rejected the callers.
TEST_CASE("callers are asked back in the learned valley") {
  ReturnSchedule schedule(1);
  const TimePoint valley_begins = LearnPeaks(schedule);
  const TimePoint now = valley_begins - milliseconds(1300);
  REQUIRE(schedule.HasRhythm(now));
  int in_valley = 0;
  for (uint64_t caller = 1; caller <= 40; ++caller) {
    const TimePoint at =
        now + schedule.Promise(caller, kLeft, kBacklog, 22, now);
    if (at >= valley_begins - milliseconds(100)) ++in_valley;
  }
  // Two spans in five of the window lie in the valley.
  CHECK(in_valley >= 30);
}

// Guards against callers that all return at the same moment: what is promised
// already is counted, here and by the peers.
TEST_CASE("returns spread over the spans, beside those of the peers") {
  ReturnSchedule schedule(1);
  const TimePoint now = kStart;
  // The peer has sent many to the first half of the window.
  PromisedReturns returns(17, 0);
  for (size_t span = 0; span < 13; ++span) returns[span] = 50;
  schedule.SetPeerReturns("peer", returns, now);
  int in_second_half = 0;
  for (uint64_t caller = 1; caller <= 120; ++caller) {
    const Duration after = schedule.Promise(caller, kLeft, kBacklog, 0, now);
    if (after >= milliseconds(1250)) ++in_second_half;
  }
  CHECK(in_second_half >= 70);
}

// Guards against promises of a gateway that died: its callers come as new ones
// or not at all, and its counts must not keep others away for good.
TEST_CASE("the promises of a silent peer expire") {
  ReturnSchedule schedule(1);
  // The silent peer has sent far more to the second half of the later window
  // than the other one to the first.
  PromisedReturns second_half(64, 0);
  for (size_t span = 29; span < 64; ++span) second_half[span] = 5000;
  schedule.SetPeerReturns("peer", second_half, kStart);
  const TimePoint later = kStart + milliseconds(1600);
  schedule.Expire(later);
  PromisedReturns half(17, 0);
  for (size_t span = 0; span < 13; ++span) half[span] = 50;
  schedule.SetPeerReturns("other", half, later);
  int in_second_half = 0;
  for (uint64_t caller = 1; caller <= 120; ++caller) {
    const Duration after = schedule.Promise(caller, kLeft, kBacklog, 0, later);
    if (after >= milliseconds(1250)) ++in_second_half;
  }
  CHECK(in_second_half >= 70);
}

// Guards against reports that are lost or old: a gateway still counts its own.
TEST_CASE("own promises are reported until their moment has passed") {
  ReturnSchedule schedule(1);
  CHECK(schedule.Promised(kStart).empty());
  for (uint64_t caller = 1; caller <= 5; ++caller) {
    schedule.Promise(caller, kLeft, kBacklog, 0, kStart);
  }
  const auto count = [&](milliseconds after) {
    uint32_t sum = 0;
    for (const uint32_t in : schedule.Promised(kStart + after)) sum += in;
    return sum;
  };
  CHECK(count(milliseconds(0)) == 5);
  CHECK(count(milliseconds(800)) == 5);
  CHECK(count(milliseconds(1800)) == 0);
}

TEST_CASE("a caller that returns as asked has its place once") {
  ReturnSchedule schedule(1);
  const Duration after = schedule.Promise(7, kLeft, kBacklog, 0, kStart);
  CHECK_FALSE(schedule.TakeReturn(8, kStart + after));
  CHECK_FALSE(schedule.TakeReturn(7, kStart + after - milliseconds(300)));
  CHECK(schedule.TakeReturn(7, kStart + after + milliseconds(200)));
  CHECK_FALSE(schedule.TakeReturn(7, kStart + after + milliseconds(200)));
  const Duration again = schedule.Promise(9, kLeft, kBacklog, 0, kStart);
  CHECK_FALSE(schedule.TakeReturn(9, kStart + again + milliseconds(900)));
  schedule.Promise(10, kLeft, kBacklog, 0, kStart);
  CHECK(schedule.Expire(kStart + kLeft) == 1);
  CHECK(schedule.open() == 0);
}

}  // namespace knapweedstile::admission
