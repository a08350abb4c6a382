#include "serving/retry_after_policy.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <queue>

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;

constexpr double kStep = 0.01;  // seconds
constexpr double kRun = 0.6;    // seconds of a request
constexpr size_t kSlots = 96;
constexpr double kPatience = 5.0;  // seconds of a caller

// Traffic of three times the usual for five seconds: a peak that asks for two
// and a half times what the slots take, a valley, then the usual peaks.
double ArrivalsASecond(double at) {
  const bool burst = at < 5.0;
  const bool peak = at < 2.4 || (at >= 6.0 && at < 8.4);
  return (peak ? 136 : 28) * (burst ? 3 : 1);
}

struct Outcome {
  int asked = 0;
  int served = 0;
  int turned_away = 0;  // for good
};

// Requests take a free slot or are turned away and come back once.
Outcome Replay(const std::function<double()>& return_after) {
  Outcome outcome;
  std::priority_queue<double, std::vector<double>, std::greater<>> ends;
  std::multimap<double, bool> returns;
  double due = 0;
  const auto take = [&](double at) {
    while (!ends.empty() && ends.top() <= at) ends.pop();
    if (ends.size() >= kSlots) return false;
    ends.push(at + kRun);
    ++outcome.served;
    return true;
  };
  for (int step = 0; step * kStep < 10; ++step) {
    const double at = step * kStep;
    while (!returns.empty() && returns.begin()->first <= at) {
      returns.erase(returns.begin());
      if (!take(at)) ++outcome.turned_away;
    }
    for (due += ArrivalsASecond(at) * kStep; due >= 1; due -= 1) {
      ++outcome.asked;
      if (!take(at)) returns.emplace(at + return_after(), true);
    }
  }
  return outcome;
}

}  // namespace

// A customer's campaign triples the traffic for five seconds. Callers who are
// turned away and told to come back in a moment meet the same peak, are turned
// away again and give up.
TEST_CASE("callers return when a burst is over, not into it") {
  Rng rng(1);
  RetryAfterPolicy times(1);
  const auto by_queue = Replay([&] { return 0.3 * (0.5 + UniformUnit(rng)); });
  const auto by_patience = Replay([&] {
    return ToSeconds(times.DelayFor(FromSeconds(kPatience), milliseconds(300)));
  });
  CAPTURE(by_queue.asked, by_queue.turned_away, by_patience.turned_away);
  REQUIRE(by_queue.turned_away * 100 > by_queue.asked * 15);
  CHECK(by_patience.turned_away * 100 < by_queue.turned_away * 80);
}

TEST_CASE("no caller is told to come back later than it would wait for") {
  RetryAfterPolicy times(1);
  for (const int left : {0, 10, 500, 5000, 60000}) {
    const Duration longest = milliseconds(left) / 3 + milliseconds(1);
    CHECK(times.DelayFor(milliseconds(left), milliseconds(0)) <= longest);
    CHECK(times.DelayFor(milliseconds(left), milliseconds(20000)) <= longest);
    CHECK(times.DelayFor(milliseconds(left), milliseconds(0)) >=
          milliseconds(left) / 6 - milliseconds(1));
  }
}

}  // namespace knapweedstile::serving
