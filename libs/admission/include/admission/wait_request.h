#ifndef KNAPWEEDSTILE_ADMISSION_WAIT_REQUEST_H_
#define KNAPWEEDSTILE_ADMISSION_WAIT_REQUEST_H_

#include "admission/standing.h"
#include "base/id.h"
#include "base/time.h"

namespace knapweedstile::admission {

// A request that may wait for a slot.
struct WaitRequest {
  ExchangeId id;
  Standing standing = Standing::kWithinShare;
  bool less_urgent = false;
  bool returns_as_asked = false;  // was rejected earlier, and came back then
  TimePoint deadline;             // of the caller
  TimePoint start_by;             // later it is of no use to the caller
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_WAIT_REQUEST_H_
