#include "burst_model.h"

#include <catch2/catch.hpp>

namespace knapweedstile::admission {
namespace {

BurstModel::Outcome Replay(BurstModel::Settings settings, bool waits,
                           bool promises) {
  constexpr uint64_t kSeeds = 12;
  settings.waits = waits;
  settings.promises = promises;
  BurstModel::Outcome sum;
  for (settings.seed = 1; settings.seed <= kSeeds; ++settings.seed) {
    sum += BurstModel(settings).Run();
  }
  return sum;
}

}  // namespace

// Guards against a queue that harms those it does not serve: in long bursts
// most requests would wait in vain, and the others would be late.
TEST_CASE("in bursts of two to four times, waiting costs less than 0.001") {
  int waited = 0;
  for (const double factor : {2.0, 3.0, 4.0}) {
    const BurstModel::Settings burst{.burst_factor = factor};
    const auto at_once = Replay(burst, false, false);
    const auto promise = Replay(burst, false, true);
    const auto both = Replay(burst, true, true);
    CAPTURE(factor, at_once.Worth(), promise.Worth(), both.Worth());
    CHECK(both.Worth() > promise.Worth() - 0.001);
    CHECK(both.Worth() > at_once.Worth() + 0.001);
    // Of those who wait, most are served, and none is held for long.
    CHECK(both.waited_in_vain * 4 <= both.waited);
    CHECK(both.longest_in_vain <= burst.objective * burst.wait_share + 1e-6);
    waited += both.waited;
  }
  CHECK(waited > 0);
}

// Guards against callers that return into the next peak and are rejected for
// good.
TEST_CASE("with alternating peaks, fewer callers are rejected for good") {
  for (const size_t gateways : {4, 12}) {
    const auto peaks = BurstModel::AlternatingPeaks(gateways);
    const auto at_once = Replay(peaks, false, false);
    const auto promise = Replay(peaks, false, true);
    const auto both = Replay(peaks, true, true);
    CAPTURE(gateways, at_once.rejected, promise.rejected, both.rejected);
    CHECK(promise.rejected * 100 < at_once.rejected * 70);
    CHECK(both.rejected < promise.rejected);
    CHECK(both.Worth() > at_once.Worth() + 0.005);
  }
}

}  // namespace knapweedstile::admission
