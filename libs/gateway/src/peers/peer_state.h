#ifndef KNAPWEEDSTILE_GATEWAY_PEER_STATE_H_
#define KNAPWEEDSTILE_GATEWAY_PEER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/record_count.h"
#include "serving/crash_count.h"
#include "serving/usage_by_process.h"
#include "workspaces/rate_report.h"

namespace knapweedstile::gateway {

// What one entry tells the others. A lost datagram is made good by the next
// whole one.
struct PeerState {
  std::string gateway;
  std::string availability_zone;  // of the entry; whole messages only
  uint64_t start = 0;     // a later start of the same entry has a higher one
  uint64_t sequence = 0;  // of this message, within one start
  bool draining = false;  // starts no new batch items
  bool store_available = false;  // the store answers its calls
  // How long ago it did so again after it was lost; zero: never lost.
  uint64_t store_regained_millis_ago = 0;
  uint64_t records = 0;           // records written to the store since `start`
  uint64_t configuration = 0;     // version in force
  uint64_t servers_revision = 0;  // newest change of a backend server's entry
  uint64_t members_revision = 0;  // newest change of the fleet's directory
  // True: `usage` holds only what changed since the last message, and
  // `running_items` nothing. Whole messages come in between, so that a lost one
  // is made good soon.
  bool partial = false;
  // True: of a gateway of another cell; holds crashes and rates only.
  bool summary = false;
  serving::UsageByProcess usage;
  // Batch items that this entry runs, as hashes of their ids.
  std::vector<uint64_t> running_items;
  // Requests that broke servers; whole messages only.
  std::vector<serving::CrashCount> crashes;
  // Entries whose records the sender has read from the store lately, where a
  // push was lost; whole messages only.
  std::map<std::string, RecordCount> filled;
  // Requests of workspaces that the sender has admitted.
  workspaces::RateReport rate;
  // Not empty: the receiver is asked to give up the slot of one batch item on
  // this backend server.
  std::string yield_instance;
};

std::string EncodePeerState(const PeerState& state);
std::optional<PeerState> DecodePeerState(std::string_view datagram);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PEER_STATE_H_
