#include "serving/crash_tracker.h"

#include <catch2/catch.hpp>

namespace knapweedstile::serving {
namespace {

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr uint64_t kPoison = 77;

}  // namespace

// A request crashes each server that runs it. Its caller sends it to one entry
// after the other, so each entry alone has seen a single crash.
TEST_CASE("breaks are counted over all entries") {
  CrashTracker ledger;
  ledger.OnAttemptBroken(kPoison, kNow);
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
  ledger.SetPeerCounts("entry-2", {{kPoison, 1}});
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
  ledger.SetPeerCounts("entry-3", {{kPoison, 1}});
  CHECK(ledger.IsQuarantined(kPoison));
  // A report replaces the one before, and is not added to it.
  ledger.SetPeerCounts("entry-3", {});
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
}

TEST_CASE("an answer clears what a neighbour's crash began") {
  CrashTracker ledger;
  ledger.OnAttemptBroken(kPoison, kNow);
  ledger.OnAttemptBroken(kPoison, kNow);
  ledger.OnAnswered(kPoison);
  ledger.OnAttemptBroken(kPoison, kNow);
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
}

TEST_CASE("a quarantine ends, and what is told is bounded") {
  CrashTracker ledger;
  for (uint64_t f = 1; f <= 200; ++f) ledger.OnAttemptBroken(f, kNow);
  for (int i = 0; i < 3; ++i) ledger.OnAttemptBroken(kPoison, kNow);
  CHECK(ledger.OwnCounts().size() <= 64);
  CHECK(ledger.OwnCounts().front().fingerprint == kPoison);
  CHECK(ledger.IsQuarantined(kPoison));
  ledger.Expire(kNow + std::chrono::minutes(2));
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
  CHECK(ledger.OwnCounts().empty());
}

}  // namespace knapweedstile::serving
