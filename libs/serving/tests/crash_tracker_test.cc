#include "serving/crash_tracker.h"

#include <catch2/catch.hpp>

namespace knapweedstile::serving {
namespace {

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr uint64_t kPoison = 77;

}  // namespace

// Guards against a request that crashes each server that runs it while its
// caller retries at one gateway after the other, so that each gateway counts a
// single crash.
TEST_CASE("broken attempts are counted over all gateways") {
  CrashTracker tracker;
  tracker.OnAttemptBroken(kPoison, kNow);
  CHECK_FALSE(tracker.IsQuarantined(kPoison));
  tracker.SetPeerCounts("entry-2", {{kPoison, 1}});
  CHECK_FALSE(tracker.IsQuarantined(kPoison));
  tracker.SetPeerCounts("entry-3", {{kPoison, 1}});
  CHECK(tracker.IsQuarantined(kPoison));
  // A report replaces the one before and does not add to it.
  tracker.SetPeerCounts("entry-3", {});
  CHECK_FALSE(tracker.IsQuarantined(kPoison));
}

TEST_CASE("a response clears earlier broken attempts") {
  CrashTracker tracker;
  tracker.OnAttemptBroken(kPoison, kNow);
  tracker.OnAttemptBroken(kPoison, kNow);
  tracker.OnAnswered(kPoison);
  tracker.OnAttemptBroken(kPoison, kNow);
  CHECK_FALSE(tracker.IsQuarantined(kPoison));
}

TEST_CASE("a quarantine ends, and reported counts are bounded") {
  CrashTracker tracker;
  for (uint64_t f = 1; f <= 200; ++f) tracker.OnAttemptBroken(f, kNow);
  for (int i = 0; i < 3; ++i) tracker.OnAttemptBroken(kPoison, kNow);
  CHECK(tracker.OwnCounts().size() <= 64);
  CHECK(tracker.OwnCounts().front().fingerprint == kPoison);
  CHECK(tracker.IsQuarantined(kPoison));
  tracker.Expire(kNow + std::chrono::minutes(2));
  CHECK_FALSE(tracker.IsQuarantined(kPoison));
  CHECK(tracker.OwnCounts().empty());
}

}  // namespace knapweedstile::serving
