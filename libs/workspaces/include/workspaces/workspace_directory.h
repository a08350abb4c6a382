#ifndef KNAPWEEDSTILE_WORKSPACES_WORKSPACE_DIRECTORY_H_
#define KNAPWEEDSTILE_WORKSPACES_WORKSPACE_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "workspaces/key_digest.h"
#include "workspaces/workspace.h"

namespace knapweedstile::workspaces {

// The workspaces in force, from both places where they are named, with one
// look-up by key.
//
// A workspace that both name is one: its keys are those of both, its priority
// and rate those of the configuration, its labels and models those of the
// object. A key that the configuration gives to one workspace and an object to
// another belongs to the configuration's.
class WorkspaceDirectory {
 public:
  // Commands. The configuration's workspaces, all of them; nothing when it has
  // no such list. Callers need a key from the first list on.
  void SetConfigured(std::optional<std::vector<Workspace>> workspaces);
  // Those that operators wrote as objects.
  void SetObjects(std::vector<Workspace> workspaces);

  // Queries. Null when there is none.
  const Workspace* FindByKey(const KeyDigest& key) const;
  const Workspace* Find(std::string_view name) const;
  // Whether routes that are not public are entered with a key only.
  bool needs_key() const noexcept { return configured_.has_value(); }
  // Whether any workspace has a key.
  bool has_keys() const noexcept { return !names_by_key_.empty(); }
  // Whether the rate of any workspace is limited.
  bool has_rate_limits() const noexcept { return has_rate_limits_; }
  // By name.
  const std::map<std::string, Workspace, std::less<>>& all() const noexcept {
    return workspaces_;
  }

 private:
  void Merge();

  std::optional<std::vector<Workspace>> configured_;
  std::vector<Workspace> objects_;
  std::map<std::string, Workspace, std::less<>> workspaces_;
  std::map<KeyDigest, std::string> names_by_key_;
  bool has_rate_limits_ = false;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_WORKSPACE_DIRECTORY_H_
