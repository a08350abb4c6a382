#ifndef KNAPWEEDSTILE_PLATFORM_STORE_REQUEST_H_
#define KNAPWEEDSTILE_PLATFORM_STORE_REQUEST_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace knapweedstile::platform {

// Calls to the platform's object API. Versions are positions in the store's
// history: a later change of any object has a higher version.

// Reads one object.
struct ReadRequest {
  std::string kind;
  std::string name;
};

// Takes effect only if the object's version is still `if_version`; zero: only
// if no such object exists. Values hold at most kMaxValueBytes.
struct WriteRequest {
  std::string kind;
  std::string name;
  uint64_t if_version = 0;
  std::string value;
};

// Takes effect only if the object's version is still `if_version`; zero: at any
// version.
struct DeleteRequest {
  std::string kind;
  std::string name;
  uint64_t if_version = 0;
};

// Lists all objects of `kind`.
struct ListRequest {
  std::string kind;
  // Allows a state that is seconds old, at a tenth of the quota cost; a watch
  // from the answer's revision returns the changes since then.
  bool allow_stale = false;
  // Reads one page only, of the objects after this name; `more` in the answer
  // says whether another one follows.
  bool one_page = false;
  std::string after;
};

// Returns the objects of `kind` that changed after revision `after` as soon as
// there are any, or an empty list at `wait_until`.
struct WatchRequest {
  std::string kind;
  uint64_t after = 0;
  TimePoint wait_until;
  // When the client stops waiting for the response; later than `wait_until`.
  TimePoint response_deadline;
};

using StoreCall = std::variant<ReadRequest, WriteRequest, DeleteRequest,
                               ListRequest, WatchRequest>;

// `token` is chosen by the requester and returned in the answer.
struct StoreRequest {
  uint64_t token = 0;
  StoreCall call;
  TimePoint deadline = kNever;
};

// Largest value that the platform accepts.
inline constexpr size_t kMaxValueBytes = 1 << 20;

}  // namespace knapweedstile::platform

#endif  // KNAPWEEDSTILE_PLATFORM_STORE_REQUEST_H_
