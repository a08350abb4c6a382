#ifndef KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_SETTINGS_H_
#define KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace knapweedstile::serving {

struct SlotSchedulerSettings {
  // Slots of each backend server that batch leaves free, so that an online
  // request that finds the fleet quiet starts at once.
  uint32_t batch_reserve = 1;
  // Slots of a server beyond the cell that are left to what its own entries
  // have started since their last report; none would send to slots that are
  // gone a quarter of a second later.
  uint32_t remote_reserve = 1;
  // The same for batch items, which hold a slot for seconds.
  uint32_t remote_batch_reserve = 3;
  // Weight of a backend server in the own availability zone against others:
  // bytes between zones cost little, so nearness only tips the scales.
  double own_zone_factor = 1.5;
  // How late other entries' words of a start come: from one VM to another and
  // through both processes, and what each message waits for the one before
  // (gateway_peers.cc keeps a millisecond for each other entry).
  std::chrono::milliseconds report_delay{5};
  std::chrono::milliseconds report_delay_per_peer{1};
  // Free slots are scarce when they are fewer than this many times what others
  // start within that delay. An online request then takes the slot of an own
  // batch item, which is certain, rather than a free one.
  double scarce_factor = 2.0;
  // More outstanding than slots for this long is no mere difference between an
  // end that is known here and a start that is not.
  std::chrono::milliseconds oversubscription_grace{15};
  // Share of the latency objective that may be spent waiting in a backend
  // server's queue; the rest is for the network and the first token.
  double queue_share_of_objective = 0.5;
  // Most requests over its slots that a backend server is sent: it refuses
  // beyond 24, and a longer queue hides a dead server for longer.
  uint32_t max_queued = 12;
  // A backend server that could not be reached is left alone for this long,
  // doubled with each further failure up to the longest.
  std::chrono::milliseconds min_backoff{300};
  std::chrono::milliseconds max_backoff{4000};
  // One that said it is full: about one request's end on eight slots.
  std::chrono::milliseconds full_backoff{60};
  // Assumed duration of an online request before one has ended.
  std::chrono::milliseconds assumed_duration{500};
  // Counts of an entry that has been silent for this long are dropped.
  std::chrono::milliseconds report_lifetime{1500};
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_SETTINGS_H_
