#ifndef KNAPWEEDSTILE_FLEET_WATCH_ANSWER_H_
#define KNAPWEEDSTILE_FLEET_WATCH_ANSWER_H_

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "platform/store_answer.h"

namespace knapweedstile::fleet {

// What became of a WatchAction.
struct WatchAnswer {
  bool ok = false;  // false: the platform is out, slow or over its quota
  std::vector<platform::StoredObject> objects;
  uint64_t revision = 0;   // complete up to here
  bool more = false;       // ask again after `revision`
  Duration retry_after{};  // not ok: the platform asks for this pause
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_WATCH_ANSWER_H_
