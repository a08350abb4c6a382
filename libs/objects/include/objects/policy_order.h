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

// The one total order that settles policies selecting the same traffic or
// engine: the higher `priority` wins, and among equals the lower name (names
// are unique, so the order is total and the same on every node).
//
// Without it two nodes that learnt of two policies in another order would serve
// the same request differently.
bool HasPrecedence(const Policy& a, const Policy& b);

// True when the policy names any traffic: conditions on the workspace's labels,
// or targets. One that names none sets only the sharing of its engines.
//
// Without that difference, moving engines one by one from an old policy to a
// new one would send all the traffic to the first engine moved.
bool SelectsTraffic(const Policy& policy);

// True when the policy takes this traffic.
bool MatchesTraffic(const Policy& policy, const Labels& workspace_labels,
                    std::string_view target);

// The winner for a request of a workspace with these labels, or null.
const Policy* PolicyForTraffic(const std::vector<const Policy*>& policies,
                               const Labels& workspace_labels,
                               std::string_view target);

// The policy whose sharing is in force on an engine, or null: an engine has one
// gate, so the winner among all policies that select it and its model sets it.
const Policy* PolicyForEngine(const std::vector<const Policy*>& policies,
                              const Engine& engine);

// For each policy, by name: the others that take away some of the traffic or of
// the engines that it selects among those given, in the total order.
std::map<std::string, std::vector<std::string>> ShadowedBy(
    const std::vector<const Policy*>& policies,
    const std::vector<const Engine*>& engines,
    const std::vector<const Workspace*>& workspaces);

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_POLICY_ORDER_H_
