#ifndef KNAPWEEDSTILE_OBJECTS_POLICY_H_
#define KNAPWEEDSTILE_OBJECTS_POLICY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "decide/sharing_policy.h"
#include "objects/labels.h"
#include "objects/selector.h"

namespace knapweedstile::objects {

// A serving policy: which traffic it applies to, which engines serve it, and
// how online and batch share these engines.
struct Policy {
  std::string name;
  uint64_t version = 0;
  Labels labels;
  int64_t priority = 0;
  Selector traffic;                  // over the workspace's labels
  std::vector<std::string> targets;  // models and services; empty: all
  Selector engines;
  decide::SharingPolicy sharing;
};

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_POLICY_H_
