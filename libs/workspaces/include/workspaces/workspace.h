#ifndef KNAPWEEDSTILE_WORKSPACES_WORKSPACE_H_
#define KNAPWEEDSTILE_WORKSPACES_WORKSPACE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "workspaces/key_digest.h"
#include "workspaces/rate_limit.h"

namespace knapweedstile::workspaces {

// One customer's share of the system, defined in the users' configuration or by
// operators as an object.
struct Workspace {
  std::string name;
  uint64_t version = 0;  // of the object; zero: from the configuration
  std::map<std::string, std::string, std::less<>> labels;
  std::vector<std::string> models;  // that its callers may use; empty: all
  std::vector<KeyDigest> keys;
  // Overrides the priority of a request's route; zero is the most urgent.
  std::optional<uint32_t> priority;
  RateLimit rate;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_WORKSPACE_H_
