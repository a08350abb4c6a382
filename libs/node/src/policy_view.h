#ifndef KNAPWEEDSTILE_NODE_POLICY_VIEW_H_
#define KNAPWEEDSTILE_NODE_POLICY_VIEW_H_

#include <string>
#include <string_view>
#include <vector>

#include "decide/sharing_policy.h"
#include "objects/catalog.h"
#include "objects/engine.h"
#include "traffic_route.h"

namespace knapweedstile::node {

// What the operators' objects mean for routing: the pool that a request goes
// to, and the pools that a backend server belongs to. A pool is one target
// under one policy; the pool without a policy holds every server of the target.
//
// A VM without an engine object counts as an engine that has only the built-in
// labels `vm`, `availability_zone` and `target`; an engine object adds its own.
class PolicyView {
 public:
  explicit PolicyView(const objects::Catalog& catalog) : catalog_(catalog) {}

  TrafficRoute RouteOf(std::string_view workspace,
                       std::string_view target) const;
  std::vector<std::string> PoolsOf(std::string_view vm,
                                   std::string_view availability_zone,
                                   std::string_view target) const;
  // What is in force on the backend server of this VM.
  decide::SharingPolicy SharingOf(std::string_view vm,
                                  std::string_view availability_zone,
                                  std::string_view target) const;

 private:
  objects::Engine EngineOf(std::string_view vm,
                           std::string_view availability_zone,
                           std::string_view target) const;

  const objects::Catalog& catalog_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_POLICY_VIEW_H_
