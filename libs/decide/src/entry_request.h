#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_REQUEST_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_REQUEST_H_

#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "decide/request_info.h"
#include "fair_queue.h"

namespace knapweedstile::decide {

struct EntryPool;

// Where an unanswered request is.
enum class EntryRequestPlace {
  kQueue,      // in the fair queue of its target
  kAgain,      // did not run where it was sent; goes before the fair queue
  kIsolation,  // a suspect that waits to run alone
  kServers,    // one or two attempts are in flight
};

// A request that has no final answer yet.
struct EntryRequest {
  RequestInfo info;
  EntryPool* pool = nullptr;  // pools are never removed
  FairQueueKey key;
  EntryRequestPlace place = EntryRequestPlace::kQueue;
  std::vector<AttemptId> attempts;     // in flight; two when hedged
  std::vector<BackendServerId> tried;  // every server it was ever sent to
  bool hedged = false;
  bool first_output = false;
  bool may_have_run = false;  // an attempt ended without a known outcome
  bool suspect = false;       // runs alone (see Quarantine)
  TimePoint wake = kNever;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_REQUEST_H_
