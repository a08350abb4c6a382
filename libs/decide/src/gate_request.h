#ifndef KNAPWEEDSTILE_DECIDE_SRC_GATE_REQUEST_H_
#define KNAPWEEDSTILE_DECIDE_SRC_GATE_REQUEST_H_

#include <cstdint>

#include "base/id.h"
#include "base/time.h"
#include "base/traffic_class.h"

namespace knapweedstile::decide {

// Who shares batch capacity: a caller (or job) inside a workspace.
struct BatchOwner {
  uint64_t workspace = 0;  // hashes of the names
  uint64_t caller = 0;
};

// What the gate keeps of a request between its arrival and its end.
struct GateRequest {
  RequestId id;
  TrafficClass traffic_class = TrafficClass::kOnline;
  BatchOwner owner;
  TimePoint deadline = kNever;
  TimePoint due = kNever;
  TimePoint queued_at;      // its place among equals; a turn taken moves it
  TimePoint waiting_since;  // of the present wait
  TimePoint started_at;     // of the present run
  uint32_t prompt_tokens = 0;
  uint32_t max_tokens = 0;
  uint32_t produced = 0;    // kept over parking
  bool parked = false;      // has run here and waits to be resumed
  bool displaced = false;   // parked for online: its slot was only lent
  bool has_output = false;  // in the present run

  // Tokens to compute again when it is resumed.
  uint32_t Context() const { return prompt_tokens + produced; }
  // Tokens it may still produce.
  uint32_t Left() const {
    return max_tokens > produced ? max_tokens - produced : 0;
  }
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SRC_GATE_REQUEST_H_
