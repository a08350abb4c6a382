#ifndef KNAPWEEDSTILE_NODE_CONFIG_APPLY_H_
#define KNAPWEEDSTILE_NODE_CONFIG_APPLY_H_

#include <vector>

#include "platform/store_answer.h"

namespace knapweedstile::objects {
class Catalog;
}

namespace knapweedstile::node {

// Puts objects in force and logs what became of each. True when something
// changed.
bool ApplyAll(objects::Catalog& catalog,
              const std::vector<platform::StoredObject>& objects);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_CONFIG_APPLY_H_
