#ifndef KNAPWEEDSTILE_NODE_REQUEST_EVENT_H_
#define KNAPWEEDSTILE_NODE_REQUEST_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/id.h"
#include "decide/attempt_outcome.h"
#include "decide/refusal.h"
#include "knapweedstile.pb.h"

namespace knapweedstile::node {

// What becomes of a submitted request. Every request ends with exactly one of
// the last four, unless it was cancelled.

struct RequestOutputEvent {
  RequestId request;
  BackendServerId server;
  std::string data;
  uint32_t tokens = 0;
};

struct RequestFinishedEvent {
  RequestId request;
  pb::Finished finished;
};

struct RequestRefusedEvent {
  RequestId request;
  decide::Refusal refusal;
};

struct RequestFailedEvent {
  RequestId request;
  decide::AttemptOutcome outcome = decide::AttemptOutcome::kUnknown;
  std::string message;
};

// Batch only: it made room and may be submitted again with what it produced.
struct RequestYieldedEvent {
  RequestId request;
};

using RequestEvent =
    std::variant<RequestOutputEvent, RequestFinishedEvent, RequestRefusedEvent,
                 RequestFailedEvent, RequestYieldedEvent>;

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_REQUEST_EVENT_H_
