#include <catch2/catch.hpp>

#include "fleet/config_spread.h"
#include "fleet/spread_settings.h"

namespace knapweedstile::fleet {

// An operator sees every sidecar of an idle fleet at 100% of a core. A sidecar
// never watches the platform, so its next watch stood in the past for ever, and
// the thread that waits until NextWake() never slept.
TEST_CASE("a node with nothing to do sleeps") {
  const TimePoint now = TimePoint(std::chrono::seconds(100));
  for (const bool entry : {false, true}) {
    ConfigSpread spread(SpreadSettings(), {"node", "zone", entry}, 1, now);
    std::vector<SpreadAction> actions;
    for (int second = 0; second < 30; ++second) {
      const TimePoint at = now + std::chrono::seconds(second);
      spread.OnTick(at, actions);
      REQUIRE(spread.NextWake(at) > at);
    }
  }
}

}  // namespace knapweedstile::fleet
