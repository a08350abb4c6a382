#ifndef KNAPWEEDSTILE_DECIDE_GATE_ACTION_H_
#define KNAPWEEDSTILE_DECIDE_GATE_ACTION_H_

#include <variant>

#include "base/id.h"
#include "decide/refusal.h"

namespace knapweedstile::decide {

// Give the request to the backend server, resuming from what it already has.
struct StartAction {
  RequestId request;
};

// Cancel the batch stream at the backend server and keep what it produced; it
// waits in this gate to be started again.
struct ParkAction {
  RequestId request;
};

// Cancel at the backend server (if it runs) and give the item back to the entry
// with what it produced, so that it can be resumed elsewhere.
struct YieldAction {
  RequestId request;
};

// Final: not run here.
struct GateRefuseAction {
  RequestId request;
  Refusal refusal;
};

using GateAction =
    std::variant<StartAction, ParkAction, YieldAction, GateRefuseAction>;

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_GATE_ACTION_H_
