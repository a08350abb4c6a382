#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_POOL_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "admission.h"
#include "admission_flows.h"
#include "base/id.h"
#include "fair_queue.h"
#include "hedge_timer.h"
#include "retry_budget.h"
#include "router.h"

namespace knapweedstile::decide {

// A server kept for one suspect: it waits there until nothing else of this
// entry runs, and then runs alone.
struct EntryIsolation {
  RequestId request;
  BackendServerId server;
};

// What the entry holds for one target: the servers it may use, who waits for
// them, and what has been measured.
struct EntryPool {
  EntryPool(const EntrySettings& settings, uint64_t seed)
      : router(settings, seed) {}

  Router router;
  FairQueue online;
  FairQueue batch;
  std::deque<RequestId> again;
  std::deque<RequestId> suspects;
  std::vector<EntryIsolation> isolations;
  RetryBudget budget;
  HedgeTimer first_output_times;
  Admission admission;
  size_t online_in_service = 0;
  AdmissionFlows workspaces_in_service;
  AdmissionFlows callers_in_service;

  size_t OnlineWaiting() const { return online.size() + again.size(); }
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_POOL_H_
