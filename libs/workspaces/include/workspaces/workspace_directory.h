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

// The active workspaces of both sources, the configuration and the objects that
// operators write, with a look-up by name and by key.
//
// A workspace that is defined in both is merged: it has the keys of both, the
// priority and rate of the configuration, and the labels and models of the
// object. If the configuration and an object give the same key to different
// workspaces, the key belongs to the configuration's workspace.
class WorkspaceDirectory {
 public:
  // Commands.
  // Replaces the workspaces of the configuration; no value if it has no list of
  // workspaces. Once there has been a list, callers need a key.
  void SetConfigured(std::optional<std::vector<Workspace>> workspaces);
  // Replaces the workspaces that operators wrote as objects.
  void SetObjects(std::vector<Workspace> workspaces);

  // Queries. Null if no workspace matches.
  const Workspace* FindByKey(const KeyDigest& key) const;
  const Workspace* Find(std::string_view name) const;
  // Whether a caller needs a key on routes that are not public.
  bool needs_key() const noexcept { return configured_.has_value(); }
  // Whether any workspace has a key.
  bool has_keys() const noexcept { return !names_by_key_.empty(); }
  // Whether any workspace has a rate limit.
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
