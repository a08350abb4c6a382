#ifndef KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_SETTINGS_H_
#define KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace knapweedstile::serving {

struct SlotSchedulerSettings {
  // Slots of each backend server that batch leaves free, so that an online
  // request that arrives at an idle fleet starts at once.
  uint32_t batch_reserve = 1;
  // Slots of a server in another cell that are left to requests that its own
  // gateways have started since their last report. Without it, requests would
  // go to slots that turn out to be taken when the report arrives a quarter of
  // a second later.
  uint32_t remote_reserve = 1;
  // The same for batch items, which hold a slot for seconds.
  uint32_t remote_batch_reserve = 3;
  // Weight of a backend server in the own availability zone relative to others.
  // Traffic between zones costs little, so locality is only a slight
  // preference.
  double own_zone_factor = 1.5;
  // Delay until a peer's start of a request is received: from one VM to another
  // and through both processes, plus the time that each message waits for the
  // one before (gateway_peers.cc waits a millisecond for each peer).
  std::chrono::milliseconds report_delay{5};
  std::chrono::milliseconds report_delay_per_peer{1};
  // Free slots are scarce when there are fewer than this many times the slots
  // that peers take within that delay. An online request then preempts a batch
  // item of its own gateway, whose slot is certain, instead of taking a free
  // slot.
  double scarce_factor = 2.0;
  // A server that has more requests than slots for this long is really
  // oversubscribed. Shorter excess occurs when the report of a start arrives
  // before the report of the end that made room for it.
  std::chrono::milliseconds oversubscription_grace{15};
  // Share of the latency objective that may be spent waiting in a backend
  // server's queue; the rest is for the network and the first token.
  double queue_share_of_objective = 0.5;
  // Maximum number of requests beyond its slots that a backend server is sent.
  // Servers reject more than 24, and a longer queue delays the detection of a
  // dead server.
  uint32_t max_queued = 12;
  // Time for which an unreachable backend server gets no requests; doubled with
  // each further failure up to the maximum.
  std::chrono::milliseconds min_backoff{300};
  std::chrono::milliseconds max_backoff{4000};
  // The same for a server that responded that it is full: about the time until
  // one request of eight slots ends.
  std::chrono::milliseconds full_backoff{60};
  // Assumed duration of an online request before the first one has ended.
  std::chrono::milliseconds assumed_duration{500};
  // Duration of a batch item on a busy server of the usual pace.
  std::chrono::milliseconds typical_item_duration{4500};
  // An item may run on a slow server if this many times its duration there
  // remain until it is due: enough for a run that is cut and resumed.
  double item_slack = 2.0;
  // Usage reported by a peer expires after this time without a report.
  std::chrono::milliseconds report_lifetime{1500};
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_SETTINGS_H_
