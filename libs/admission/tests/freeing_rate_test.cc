#include "admission/freeing_rate.h"

#include <catch2/catch.hpp>

namespace knapweedstile::admission {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr uint32_t kSlots = 16;

// Slots become free at `per_second`; each 10 ms a request meets no free slot.
TimePoint Saturate(FreeingRate& rate, TimePoint at, milliseconds length,
                   double per_second, uint32_t slots = kSlots) {
  double freed = 0;
  for (const TimePoint end = at + length; at < end; at += milliseconds(10)) {
    rate.OnSaturated(slots, at);
    rate.OnOffered(at);
    for (freed += per_second / 100; freed >= 1; freed -= 1) rate.OnFreed(at);
  }
  return at;
}

double Freed(const FreeingRate& rate, TimePoint at, uint32_t slots = kSlots) {
  return rate.Flow(slots, at).freed_per_second;
}

}  // namespace

TEST_CASE("the rate of a peak holds through the valley after it") {
  FreeingRate rate;
  TimePoint at = Saturate(rate, kStart, milliseconds(2200), 40);
  CHECK(Freed(rate, at) == Approx(40).margin(4));
  CHECK(rate.Flow(kSlots, at).offered_per_second == Approx(100).margin(10));
  // What runs when the peak ends leaves its slots as before.
  for (int i = 0; i < 20; ++i) rate.OnFreed(at += milliseconds(25));
  for (int i = 0; i < 25; ++i) rate.OnFreed(at += milliseconds(100));
  CHECK(Freed(rate, at) == Approx(40).margin(6));
  at = Saturate(rate, at, milliseconds(500), 40);
  CHECK(Freed(rate, at) == Approx(40).margin(6));
}

// Guards against waiting for servers that stand still.
TEST_CASE("the rate falls while all slots are in use and none becomes free") {
  FreeingRate rate;
  const TimePoint at = Saturate(rate, kStart, milliseconds(2000), 40);
  const double before = Freed(rate, at);
  const TimePoint later = Saturate(rate, at, milliseconds(1000), 0);
  CHECK(Freed(rate, later) < 0.45 * before);
}

// Guards against waiting for servers that are gone.
TEST_CASE("the rate follows the number of slots") {
  FreeingRate rate;
  const TimePoint at = Saturate(rate, kStart, milliseconds(2000), 40);
  CHECK(Freed(rate, at, 2 * kSlots) == Approx(2 * Freed(rate, at)));
  CHECK(Freed(rate, at, 0) == 0);
}

// Guards against a rate that multiplies, or falls to nothing, since some slots
// were not counted for a moment in which their requests went on ending.
TEST_CASE("a short dip in the number of slots hardly changes the rate") {
  const uint32_t counted = GENERATE(0U, kSlots / 4);
  FreeingRate rate;
  TimePoint at = Saturate(rate, kStart, milliseconds(2000), 100);
  at = Saturate(rate, at, milliseconds(60), 100, counted);
  at = Saturate(rate, at, milliseconds(10), 100);
  CHECK(Freed(rate, at) == Approx(100).epsilon(0.1));
}

TEST_CASE("without saturation no rate is known") {
  FreeingRate rate;
  for (int i = 0; i < 100; ++i) rate.OnFreed(kStart + milliseconds(10 * i));
  CHECK(Freed(rate, kStart + milliseconds(1000)) == 0);
}

}  // namespace knapweedstile::admission
