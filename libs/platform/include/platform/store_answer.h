#ifndef KNAPWEEDSTILE_PLATFORM_STORE_ANSWER_H_
#define KNAPWEEDSTILE_PLATFORM_STORE_ANSWER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"

namespace knapweedstile::platform {

enum class StoreOutcome {
  kOk,
  kConflict,   // the version was not `if_version`; `version` is the current one
  kNotFound,   // no such object
  kNotSent,    // no connection: it did not take effect
  kThrottled,  // over the quota: it did not take effect; retry later
  kRejected,   // rejected for good (too large, malformed)
  kUnknown,    // no response: it may have taken effect
  kCompacted,  // watch: the requested history is discarded; list again
  kUnreadable,  // list and watch: the store answers, but in no known form
};

// One version of an object. `value` is empty when the object was deleted.
struct StoredObject {
  std::string kind;
  std::string name;
  uint64_t version = 0;
  bool deleted = false;
  std::string value;
};

// The result of one StoreRequest.
struct StoreAnswer {
  uint64_t token = 0;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  uint64_t version = 0;               // write: the new one; conflict: current
  std::vector<StoredObject> objects;  // read: one; list and watch
  uint64_t revision = 0;   // list and watch: includes changes up to it
  size_t unreadable = 0;   // objects with a part that can't be parsed
  bool more = false;       // list and watch: continue from `revision` at once
  Duration retry_after{};  // kThrottled: counted from the answer's arrival
  std::string message;     // for humans
};

}  // namespace knapweedstile::platform

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 9>
    kEnumNames<platform::StoreOutcome> = {
        "ok",       "conflict", "not_found", "not_sent",  "throttled",
        "rejected", "unknown",  "compacted", "unreadable"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_PLATFORM_STORE_ANSWER_H_
