#include "config_apply.h"

#include "base/log.h"
#include "objects/apply_result.h"
#include "objects/catalog.h"
#include "objects/field_error.h"

namespace knapweedstile::node {

bool ApplyAll(objects::Catalog& catalog,
              const std::vector<platform::StoredObject>& objects) {
  bool changed = false;
  for (const platform::StoredObject& object : objects) {
    const objects::ApplyResult result = catalog.Apply(
        object.kind, object.name, object.version, object.value, object.deleted);
    LogInfo("config", {{"object", object.kind + "/" + object.name},
                       {"version", object.version},
                       {"outcome", NameOf(result.outcome)},
                       {"errors", objects::Describe(result.errors)}});
    changed |= result.outcome == objects::ApplyOutcome::kAccepted;
  }
  return changed;
}

}  // namespace knapweedstile::node
