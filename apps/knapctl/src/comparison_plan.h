#ifndef KNAPWEEDSTILE_KNAPCTL_COMPARISON_PLAN_H_
#define KNAPWEEDSTILE_KNAPCTL_COMPARISON_PLAN_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "decide/policy_comparison.h"
#include "load/load_mix.h"

namespace knapweedstile::ctl {

// Parameters of one comparison, from the command line.
struct ComparisonPlan {
  // Names of the two policies, which are also the values of the engines' label.
  std::string first;
  std::string second;
  std::string label = "serving";
  std::string engine_selector;  // KEY=VALUE; empty: all engines
  uint32_t blocks = 6;
  Duration block_length = std::chrono::seconds(6);
  Duration settle_time = std::chrono::milliseconds(500);
  Duration baseline_length = std::chrono::seconds(6);
  uint32_t batch_items = 20000;
  uint32_t batch_tokens = 32;
  load::LoadMix mix;

  // Returns the policy that is active at a time since the first block began.
  decide::PolicySide SideAt(Duration since_start) const;
  const std::string& PolicyName(decide::PolicySide side) const {
    return side == decide::PolicySide::kFirst ? first : second;
  }
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_COMPARISON_PLAN_H_
