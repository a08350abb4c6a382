#include "serving/retry_after_policy.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <queue>

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;

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
Outcome Replay(const std::function<double()>& retry_after) {
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
      if (!try_start(at)) ++outcome.rejected;
    }
    for (due += ArrivalsPerSecond(at) * kStep; due >= 1; due -= 1) {
      ++outcome.requests;
      if (!try_start(at)) retries.emplace(at + retry_after(), true);
    }
  }
  return outcome;
}

}  // namespace

// Guards against callers that retry too soon: traffic triples for five seconds,
// and callers with a short Retry-After meet the same peak, are rejected again
// and give up.
TEST_CASE("callers retry after a burst, not during it") {
  Rng rng(1);
  RetryAfterPolicy policy(1);
  const auto queue_based =
      Replay([&] { return 0.3 * (0.5 + UniformUnit(rng)); });
  const auto timeout_based = Replay([&] {
    return ToSeconds(
        policy.DelayFor(FromSeconds(kCallerTimeoutSeconds), milliseconds(300)));
  });
  CAPTURE(queue_based.requests, queue_based.rejected, timeout_based.rejected);
  REQUIRE(queue_based.rejected * 100 > queue_based.requests * 15);
  CHECK(timeout_based.rejected * 100 < queue_based.rejected * 80);
}

TEST_CASE("Retry-After never exceeds what the caller would wait") {
  RetryAfterPolicy policy(1);
  for (const int left : {0, 10, 500, 5000, 60000}) {
    const Duration longest = milliseconds(left) / 3 + milliseconds(1);
    CHECK(policy.DelayFor(milliseconds(left), milliseconds(0)) <= longest);
    CHECK(policy.DelayFor(milliseconds(left), milliseconds(20000)) <= longest);
    CHECK(policy.DelayFor(milliseconds(left), milliseconds(0)) >=
          milliseconds(left) / 6 - milliseconds(1));
  }
}

}  // namespace knapweedstile::serving
