#ifndef KNAPWEEDSTILE_OBJECTS_POLICY_ORDER_H_
#define KNAPWEEDSTILE_OBJECTS_POLICY_ORDER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "objects/labels.h"
#include "objects/workspace.h"

namespace knapweedstile::objects {

struct Engine;
struct Policy;

// Whether `a` takes precedence over `b` when both select the same traffic or
// engine: the higher `priority` wins, then the lower name. Names are unique, so
// the order is total and the same on every node.
//
// Without a total order, two nodes that received the policies in a different
// order would serve the same request differently.
bool HasPrecedence(const Policy& a, const Policy& b);

// Whether the policy selects traffic, by conditions on the workspace's labels
// or by targets. A policy without either only sets the sharing of its engines.
//
// If such a policy applied to all traffic, moving engines one by one from an
// old policy to a new one would send all traffic to the first engine moved.
bool SelectsTraffic(const Policy& policy);

// Whether the policy applies to this traffic.
bool MatchesTraffic(const Policy& policy, const Labels& workspace_labels,
                    std::string_view target);

// The policy for a request of a workspace with these labels, or null.
const Policy* PolicyForTraffic(const std::vector<const Policy*>& policies,
                               const Labels& workspace_labels,
                               std::string_view target);

// The policy that sets the sharing of an engine, or null. An engine has a
// single sharing, so only the first in precedence of the policies that select
// the engine and its model applies.
const Policy* PolicyForEngine(const std::vector<const Policy*>& policies,
                              const Engine& engine);

// For each policy, by name: the policies of higher precedence that select some
// of the same traffic or engines among those given, in order of precedence.
std::map<std::string, std::vector<std::string>> ShadowedBy(
    const std::vector<const Policy*>& policies,
    const std::vector<const Engine*>& engines,
    const std::vector<const Workspace*>& workspaces);

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_POLICY_ORDER_H_
