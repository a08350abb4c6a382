#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_ACTION_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_ACTION_H_

#include <variant>

#include "base/id.h"
#include "decide/attempt_outcome.h"
#include "decide/refusal.h"

namespace knapweedstile::decide {

// Send the request to this backend server.
struct DispatchAction {
  RequestId request;
  AttemptId attempt;
  BackendServerId backend_server;
};

// Reset the attempt's stream; its request was cancelled or answered by a hedge.
struct CancelAttemptAction {
  AttemptId attempt;
};

// The final answer of a request that did not run, to be sent at once.
struct RefuseAction {
  RequestId request;
  Refusal refusal;
};

// The final answer of a request that may have run: its outcome is not known.
struct FailAction {
  RequestId request;
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
};

using EntryAction =
    std::variant<DispatchAction, CancelAttemptAction, RefuseAction, FailAction>;

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_ACTION_H_
