#ifndef KNAPWEEDSTILE_KNAPCTL_COMPARISON_PLAN_H_
#define KNAPWEEDSTILE_KNAPCTL_COMPARISON_PLAN_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "decide/policy_comparison.h"
#include "load/load_mix.h"

namespace knapweedstile::ctl {

// What one comparison does, from its words.
struct ComparisonPlan {
  std::string first;   // names of the two policies, which are also the values
  std::string second;  // of the engines' label
  std::string label = "serving";
  std::string select;  // engines to relabel: KEY=VALUE; empty: all
  uint32_t blocks = 6;
  Duration block = std::chrono::seconds(6);
  Duration settle = std::chrono::milliseconds(500);
  Duration baseline = std::chrono::seconds(6);
  uint32_t batch_items = 20000;
  uint32_t batch_tokens = 32;
  load::LoadMix mix;

  // Which policy is in force at a time since the first block began.
  decide::PolicySide SideAt(Duration since_start) const;
  const std::string& NameOfSide(decide::PolicySide side) const {
    return side == decide::PolicySide::kFirst ? first : second;
  }
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_COMPARISON_PLAN_H_
