#ifndef KNAPWEEDSTILE_OBJECTS_CATALOG_H_
#define KNAPWEEDSTILE_OBJECTS_CATALOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "decide/sharing_policy.h"
#include "objects/apply_result.h"
#include "objects/engine.h"
#include "objects/labels.h"
#include "objects/object_kind.h"
#include "objects/placement.h"
#include "objects/policy.h"
#include "objects/rejected_object.h"
#include "objects/workspace.h"

namespace knapweedstile::objects {

// The operators' objects that are active on this node.
//
// Guards against an invalid edit that disables a working configuration: a
// rejected version leaves the last valid one active and is listed with its
// reason. Guards against an old version that arrives late (from a list that
// lags behind a watch) and reverts an accepted one: versions of a name only
// increase, including across its deletion.
class Catalog {
 public:
  template <typename T>
  using Table = std::map<std::string, T, std::less<>>;

  // Applies one version of an object. Kinds that operators do not edit are
  // ignored.
  ApplyResult Apply(std::string_view kind, std::string_view name,
                    uint64_t version, std::string_view value, bool deleted);

  const Table<Policy>& policies() const noexcept { return policies_; }
  const Table<Placement>& placements() const noexcept { return placements_; }
  const Table<Engine>& engines() const noexcept { return engines_; }
  const Table<Workspace>& workspaces() const noexcept { return workspaces_; }

  // All policies, for policy_order.h.
  std::vector<const Policy*> AllPolicies() const;

  // The highest version applied or rejected.
  uint64_t revision() const noexcept { return revision_; }
  // Digest of the kinds, names and versions of the active objects. Equal on two
  // nodes only if they use the same objects, except for hash collisions.
  uint64_t digest() const noexcept { return digest_; }
  // The latest versions that were rejected, by kind/name.
  std::vector<RejectedObject> RejectedObjects() const;

  // The engine object of a VM, or null; the lowest name if there are several.
  const Engine* EngineOnVm(std::string_view vm) const;
  // For each policy, which others shadow it (policy_order.h).
  std::map<std::string, std::vector<std::string>> ShadowedPolicies() const;

 private:
  struct VersionState {
    uint64_t version = 0;          // the latest, active or rejected
    uint64_t active_version = 0;   // zero: none
    std::string rejection_reason;  // empty: the latest is active
  };

  template <typename T>
  ApplyResult ApplyTo(Table<T>& table, ObjectKind kind, std::string_view name,
                      uint64_t version, std::string_view value, bool deleted);
  ApplyResult Dispatch(ObjectKind kind, std::string_view name, uint64_t version,
                       std::string_view value, bool deleted);
  void SetActiveVersion(VersionState& seen, std::string_view id,
                        uint64_t version);

  Table<Policy> policies_;
  Table<Placement> placements_;
  Table<Engine> engines_;
  Table<Workspace> workspaces_;
  std::map<std::string, VersionState, std::less<>>
      version_states_;  // by kind/name
  uint64_t revision_ = 0;
  uint64_t digest_ = 0;
};

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_CATALOG_H_
