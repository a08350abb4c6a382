#include "serving/crash_ledger.h"

#include <catch2/catch.hpp>

namespace knapweedstile::serving {
namespace {

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr uint64_t kPoison = 77;

}  // namespace

// A request crashes each server that runs it. Its caller sends it to one entry
// after the other, so each entry alone has seen a single crash.
TEST_CASE("breaks are counted over all entries") {
  CrashLedger ledger;
  ledger.OnBroken(kPoison, kNow);
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
  ledger.Learn("entry-2", {{kPoison, 1}});
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
  ledger.Learn("entry-3", {{kPoison, 1}});
  CHECK(ledger.IsQuarantined(kPoison));
  // A report replaces the one before, and is not added to it.
  ledger.Learn("entry-3", {});
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
}

TEST_CASE("an answer clears what a neighbour's crash began") {
  CrashLedger ledger;
  ledger.OnBroken(kPoison, kNow);
  ledger.OnBroken(kPoison, kNow);
  ledger.OnAnswered(kPoison);
  ledger.OnBroken(kPoison, kNow);
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
}

TEST_CASE("a quarantine ends, and what is told is bounded") {
  CrashLedger ledger;
  for (uint64_t f = 1; f <= 200; ++f) ledger.OnBroken(f, kNow);
  for (int i = 0; i < 3; ++i) ledger.OnBroken(kPoison, kNow);
  CHECK(ledger.Own().size() <= 64);
  CHECK(ledger.Own().front().fingerprint == kPoison);
  CHECK(ledger.IsQuarantined(kPoison));
  ledger.Expire(kNow + std::chrono::minutes(2));
  CHECK_FALSE(ledger.IsQuarantined(kPoison));
  CHECK(ledger.Own().empty());
}

}  // namespace knapweedstile::serving
