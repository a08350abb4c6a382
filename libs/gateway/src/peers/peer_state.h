#ifndef KNAPWEEDSTILE_GATEWAY_PEER_STATE_H_
#define KNAPWEEDSTILE_GATEWAY_PEER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/return_schedule.h"
#include "peers/record_count.h"
#include "serving/crash_count.h"
#include "serving/crashing_part_report.h"
#include "serving/server_end.h"
#include "serving/server_observation.h"
#include "serving/usage_by_process.h"
#include "workspaces/rate_report.h"

namespace knapweedstile::gateway {

// The state that a gateway sends to its peers. The next full message
// compensates for a lost datagram.
struct PeerState {
  std::string gateway;
  std::string availability_zone;  // of the gateway; full messages only
  uint64_t start = 0;     // higher for each later start of the same gateway
  uint64_t sequence = 0;  // number of this message within one start
  bool draining = false;  // starts no new batch items
  // The sender has been unable to start batch items for long; peers run its
  // jobs. Older versions ignore it.
  bool starts_no_items = false;
  bool store_available = false;  // the sender can reach the store
  // Time since the store became reachable again after an outage, in
  // milliseconds; zero if it was never unreachable.
  uint64_t store_regained_millis_ago = 0;
  uint64_t records = 0;           // records written to the store since `start`
  uint64_t configuration = 0;     // active version
  uint64_t servers_revision = 0;  // newest change of a backend server's record
  uint64_t members_revision = 0;  // newest change of the member directory
  // Share of its processor time that the sender has left, 0 to 1; none:
  // unknown.
  std::optional<double> headroom;
  // The sender can be sent a job's records in outline. False: an older version,
  // which would take the outline for the record.
  bool takes_outlines = false;
  // True for a delta: `usage` holds only what changed since the last message,
  // and `running_items` is empty. Periodic full messages compensate for lost
  // deltas.
  bool partial = false;
  // True for a message from a gateway in another cell, which holds only crashes
  // and rates.
  bool summary = false;
  serving::UsageByProcess usage;
  // Hashes of the ids of the batch items that the sender runs.
  std::vector<uint64_t> running_items;
  // Requests that crashed servers; full messages only.
  std::vector<serving::CrashCount> crashes;
  // Parts of prompts that may crash servers; full messages and summaries only.
  std::vector<serving::CrashingPartReport> crashing_parts;
  // Ends of server processes that the sender has seen; full messages and
  // summaries only.
  std::vector<serving::ServerEnd> server_ends;
  // What the sender has observed of backend servers; some full messages only.
  std::vector<serving::ServerObservation> observations;
  // Gateways whose records the sender recently read from the store because a
  // push was lost; full messages only.
  std::map<std::string, RecordCount> filled;
  // Moments at which the sender has asked rejected callers to return, by hash
  // of the service; full messages only.
  std::map<uint64_t, admission::PromisedReturns> returns;
  // Requests that the sender has admitted, by workspace.
  workspaces::RateReport rate;
  // If not empty, requests that the receiver preempt one batch item on this
  // backend server.
  std::string yield_instance;
};

std::string EncodePeerState(const PeerState& state);
std::optional<PeerState> DecodePeerState(std::string_view datagram);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PEER_STATE_H_
