#include "objects/catalog.h"

#include <algorithm>

#include "base/hash.h"
#include "objects/parse.h"
#include "objects/policy_order.h"

namespace knapweedstile::objects {

namespace {

template <typename T>
std::vector<const T*> Pointers(const Catalog::Table<T>& table) {
  std::vector<const T*> pointers;
  pointers.reserve(table.size());
  for (const auto& [name, object] : table) pointers.push_back(&object);
  return pointers;
}

std::string IdOf(ObjectKind kind, std::string_view name) {
  return std::string(NameOf(kind)) + "/" + std::string(name);
}

// Copies the policy's name and version to its sharing, for reports.
void LabelSharing(Policy& policy) {
  policy.sharing.name = policy.name;
  policy.sharing.revision = policy.version;
}

template <typename T>
void LabelSharing(T& /*object*/) {}

}  // namespace

ApplyResult Catalog::Apply(std::string_view kind, std::string_view name,
                           uint64_t version, std::string_view value,
                           bool deleted) {
  revision_ = std::max(revision_, version);
  const auto object_kind = ParseEnum<ObjectKind>(kind);
  if (!object_kind) return {ApplyOutcome::kIgnored, {}};
  return Dispatch(*object_kind, name, version, value, deleted);
}

ApplyResult Catalog::Dispatch(ObjectKind kind, std::string_view name,
                              uint64_t version, std::string_view value,
                              bool deleted) {
  switch (kind) {
    case ObjectKind::kPolicy:
      return ApplyTo(policies_, kind, name, version, value, deleted);
    case ObjectKind::kPlacement:
      return ApplyTo(placements_, kind, name, version, value, deleted);
    case ObjectKind::kEngine:
      return ApplyTo(engines_, kind, name, version, value, deleted);
    case ObjectKind::kWorkspace:
      return ApplyTo(workspaces_, kind, name, version, value, deleted);
  }
  return {ApplyOutcome::kIgnored, {}};
}

template <typename T>
ApplyResult Catalog::ApplyTo(Table<T>& table, ObjectKind kind,
                             std::string_view name, uint64_t version,
                             std::string_view value, bool deleted) {
  const std::string id = IdOf(kind, name);
  VersionState& state = version_states_[id];
  if (version <= state.version) return {ApplyOutcome::kStale, {}};
  state.version = version;
  if (deleted) {
    table.erase(std::string(name));
    SetActiveVersion(state, id, 0);
    return {ApplyOutcome::kAccepted, {}};
  }
  Parsed<T> parsed = Parse<T>(value);
  if (auto* errors = std::get_if<FieldErrors>(&parsed)) {
    state.rejection_reason = Describe(*errors);
    return {ApplyOutcome::kInvalid, std::move(*errors)};
  }
  T& object = std::get<T>(parsed);
  object.name = std::string(name);
  object.version = version;
  LabelSharing(object);
  table[object.name] = std::move(object);
  SetActiveVersion(state, id, version);
  return {ApplyOutcome::kAccepted, {}};
}

// The digest is a sum, so that it does not depend on the order of arrival.
void Catalog::SetActiveVersion(VersionState& state, std::string_view id,
                               uint64_t version) {
  if (state.active_version != 0)
    digest_ -= HashCombine(Hash64(id), state.active_version);
  if (version != 0) digest_ += HashCombine(Hash64(id), version);
  state.active_version = version;
  state.rejection_reason.clear();
}

std::vector<RejectedObject> Catalog::RejectedObjects() const {
  std::vector<RejectedObject> rejected;
  for (const auto& [id, state] : version_states_) {
    if (state.rejection_reason.empty()) continue;
    rejected.push_back(
        {id, state.version, state.active_version, state.rejection_reason});
  }
  return rejected;
}

std::vector<const Policy*> Catalog::AllPolicies() const {
  return Pointers(policies_);
}

const Engine* Catalog::EngineOnVm(std::string_view vm) const {
  for (const auto& [name, engine] : engines_) {
    if (engine.vm == vm) return &engine;
  }
  return nullptr;
}

std::map<std::string, std::vector<std::string>> Catalog::ShadowedPolicies()
    const {
  return ShadowedBy(AllPolicies(), Pointers(engines_), Pointers(workspaces_));
}

}  // namespace knapweedstile::objects
