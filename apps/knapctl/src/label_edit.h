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

// Labels to set; no value: to take off.
using LabelEdits = std::map<std::string, std::optional<std::string>>;

// `K=V` sets, `K-` takes off. None when a word is neither.
std::optional<LabelEdits> ParseLabelEdits(
    const std::vector<std::string>& words);

// True when the stored value carries every label of `wanted`.
bool HasLabels(const std::string& value, const LabelEdits& wanted);

// Edits labels and nothing else. When somebody else changed the object
// meanwhile, the edit is made again on the new version, unless one of the very
// labels has changed: then both are shown and nothing is overwritten.
// `version`: the new one, when kOk is returned.
ExitCode EditLabels(const ObjectStore& store, const std::string& kind,
                    const std::string& name, const LabelEdits& edits,
                    uint64_t* version);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_LABEL_EDIT_H_
