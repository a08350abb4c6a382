#include "admission/arrival_rhythm.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>

#include "base/rng.h"

namespace knapweedstile::admission {
namespace {

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

TimePoint At(double seconds) { return kStart + FromSeconds(seconds); }

using Traffic = std::function<double(double)>;  // arrivals per second

ArrivalRhythm Replay(double until, const Traffic& traffic) {
  ArrivalRhythm rhythm;
  Rng rng(3);
  for (double at = 0; at < until;) {
    rhythm.OnArrival(At(at));
    at += -std::log(1 - UniformUnit(rng)) / traffic(at);
  }
  return rhythm;
}

Traffic Steps(double valley_seconds, double peak_seconds) {
  return [=](double at) {
    return std::fmod(at, valley_seconds + peak_seconds) < valley_seconds ? 4.0
                                                                         : 18.0;
  };
}

}  // namespace

TEST_CASE("the period of peaks and valleys is learned") {
  const auto [valley, peak] =
      GENERATE(std::pair{3.0, 2.2}, std::pair{3.6, 2.4}, std::pair{1.5, 1.0},
               std::pair{5.0, 4.0});
  auto rhythm = Replay(31, Steps(valley, peak));
  const auto period = rhythm.Period(At(31));
  CAPTURE(valley, peak);
  REQUIRE(period);
  CHECK(ToSeconds(*period) == Approx(valley + peak).margin(0.31));
}

TEST_CASE("a burst upon the rhythm shifts the level, not the period") {
  const auto steps = Steps(3.0, 2.2);
  auto rhythm = Replay(
      28.2, [&](double at) { return steps(at) * (at > 24 ? 3.0 : 1.0); });
  const auto period = rhythm.Period(At(28.2));
  REQUIRE(period);
  CHECK(ToSeconds(*period) == Approx(5.2).margin(0.31));
  // Now is the third peak of the burst; the next valley is from 31.2 to 34.2.
  const double in_peak = *rhythm.Expected(At(30.5), At(28.2));
  const double in_valley = *rhythm.Expected(At(32.5), At(28.2));
  CHECK(in_peak > 2.5 * in_valley);
}

// Guards against moments chosen by chance: traffic without peaks has no valley.
TEST_CASE("steady traffic has no rhythm") {
  auto rhythm = Replay(31, [](double) { return 12.0; });
  CHECK_FALSE(rhythm.Period(At(31)));
  CHECK_FALSE(rhythm.Expected(At(32), At(31)));
  CHECK_FALSE(ArrivalRhythm().Period(At(1)));
}

TEST_CASE("a rhythm that was seen once is not trusted, and a pause ends it") {
  auto early = Replay(6, Steps(3.0, 2.2));
  CHECK_FALSE(early.Period(At(6)));
  auto rhythm = Replay(31, Steps(3.0, 2.2));
  REQUIRE(rhythm.Period(At(31)));
  CHECK_FALSE(rhythm.Period(At(120)));
}

}  // namespace knapweedstile::admission
