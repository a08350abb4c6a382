#ifndef KNAPWEEDSTILE_KNAPCTL_LABEL_EDIT_H_
#define KNAPWEEDSTILE_KNAPCTL_LABEL_EDIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "exit_code.h"

namespace knapweedstile::ctl {

class ObjectStore;

// Labels to set, by key; no value: the label is removed.
using LabelEdits = std::map<std::string, std::optional<std::string>>;

// Parses `K=V` (set) and `K-` (remove). Returns nullopt for any other argument.
std::optional<LabelEdits> ParseLabelEdits(
    const std::vector<std::string>& arguments);

// Returns whether the stored object has every label of `wanted`.
bool HasLabels(const std::string& value, const LabelEdits& wanted);

// Edits only the labels of an object. If the object has changed since it was
// read, retries on the new version, unless one of the edited labels has
// changed: then prints both versions, overwrites nothing and returns kConflict.
// On kOk, `version` is the new version.
ExitCode EditLabels(const ObjectStore& store, const std::string& kind,
                    const std::string& name, const LabelEdits& edits,
                    uint64_t* version);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_LABEL_EDIT_H_
