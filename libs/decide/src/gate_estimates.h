#ifndef KNAPWEEDSTILE_DECIDE_SRC_GATE_ESTIMATES_H_
#define KNAPWEEDSTILE_DECIDE_SRC_GATE_ESTIMATES_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::decide {

// What the gate has learned of its backend server's times for one traffic
// class, and what follows for requests that wait.
class GateEstimates {
 public:
  // Commands.
  void OnFirstOutput(Duration since_start);
  void OnEnded(Duration since_start);

  // Queries.
  // From a start to its first output; zero until seen.
  Duration FirstOutput() const;
  // Until `slots` slots have started `ahead` waiting requests and one more.
  // Zero until a request has ended, so that nothing is refused on a guess.
  Duration Wait(size_t ahead, uint32_t slots) const;

 private:
  // Ground: the mean then follows the last sixteen or so requests; a change of
  // the backend server's speed is seen after two rounds of eight slots.
  static constexpr double kWeight = 1.0 / 16;

  static void Learn(double& mean, double value);

  double first_output_ = 0;  // seconds
  double service_ = 0;       // seconds
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SRC_GATE_ESTIMATES_H_
