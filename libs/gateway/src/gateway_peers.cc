#include <algorithm>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "gateway.h"

// State that the gateway exchanges with its peers.
namespace knapweedstile::gateway {
namespace {

// Minimum time between progress updates. Items produce an event every 30 ms; a
// failed gateway loses at most this time of progress and one incomplete step.
constexpr std::chrono::milliseconds kProgressPause{500};
// Size of one message; below the limit of the peers' server.
constexpr size_t kMaxProgressBytes = 512 << 10;

}  // namespace

void Gateway::OnPeerState(const PeerState& state) {
  const TimePoint now = MonotonicNow();
  rate_quota_.OnReport(Hash64(state.gateway), state.start, state.rate,
                       state.partial, now);
  if (state.partial) {
    scheduler_.UpdatePeerUsage(state.gateway, state.usage, now);
    online_.OnPeerUsage();
  } else {
    scheduler_.SetPeerUsage(state.gateway, state.usage, now);
    crash_tracker_.SetPeerCounts(state.gateway, state.crashes);
    crashing_parts_.MergeEnds(state.server_ends);
    for (const auto& report : state.crashing_parts)
      crashing_parts_.Merge(report, now);
    if (!state.observations.empty()) {
      scheduler_.pace().SetPeerObservations(state.gateway, state.observations,
                                            now);
    }
    online_.OnPeerReturns(state.gateway, state.returns);
    ConfirmRecoveredRecords(state);
  }
  sync_tracker_.OnAdvertisedCount(state.gateway, state.start, state.records,
                                  now);
  follower_.OnPeerState(state, now);
}

void Gateway::UpdateCells() {
  // With a sharded layout, the peers are the gateways of the same cell.
  if (fleet_.divided()) {
    const serving::Cell cell = fleet_.own_cell();
    gateways_in_cell_ = peers_.Zones().size() + 1;
    scheduler_.SetCell(cell, gateways_in_cell_);
    publisher_.SetGatewaysInCell(gateways_in_cell_);
    peers_.SetCells(fleet_.cells());
    follower_.SetCell(cell, kReadersPerDividedCell,
                      kConfigurationWatchersPerSmallCell, MonotonicNow());
    return UpdateRateMembers();
  }
  std::map<std::string, std::string> zones = peers_.Zones();
  zones[settings_.name] = settings_.availability_zone;
  const cluster::CellMap cells(zones);
  const serving::Cell cell = cells.CellOf(settings_.name);
  gateways_in_cell_ =
      cell.availability_zone.empty() ? zones.size() : cells.CountGateways(cell);
  scheduler_.SetCell(cell, gateways_in_cell_);
  publisher_.SetGatewaysInCell(gateways_in_cell_);
  UpdateRateMembers();
  peers_.SetCells(cells);
  const serving::Cell reader_cell = cells.StoreReaderCellOf(settings_.name);
  follower_.SetCell(reader_cell, kReadersPerCell,
                    reader_cell == serving::Cell()
                        ? kConfigurationWatchersPerCell
                        : kConfigurationWatchersPerSmallCell,
                    MonotonicNow());
}

void Gateway::UpdateRateMembers() {
  if (!members_listed_ || !workspaces_.has_rate_limits()) return;
  std::vector<workspaces::GatewayHash> others;
  for (const auto& [gateway, member] : fleet_.members()) {
    if (gateway != settings_.name) others.push_back(Hash64(gateway));
  }
  rate_quota_.SetMembers(others, MonotonicNow());
}

void Gateway::ConfirmRecoveredRecords(const PeerState& state) {
  const auto own = state.filled.find(settings_.name);
  if (own == state.filled.end() || own->second.start != start_id_) return;
  const auto addresses = peers_.LiveAddresses();
  const auto address = addresses.find(state.gateway);
  if (address == addresses.end()) return;
  record_push_.OnAcknowledged(address->second, own->second.count);
}

void Gateway::PreemptBatchItem(BackendServerId server,
                               const std::string& peer) {
  if (peer.empty()) return runner_.PreemptItem(server);
  const serving::ServerRecord* record = scheduler_.Record(server);
  if (record) peers_.RequestPreemption(peer, record->instance);
}

PeerState Gateway::OwnState() const {
  const TimePoint regained_at = store_.available_since();
  const Duration since_regained = MonotonicNow() - regained_at;
  const bool was_lost = regained_at != TimePoint{};
  return {
      .draining = stop_began_at_ != kNever,
      .starts_no_items = hands_jobs_over_,
      .store_available = store_.available(),
      // Zero means that the store was never lost; hence the added millisecond.
      .store_regained_millis_ago =
          was_lost ? static_cast<uint64_t>(ToMillis(since_regained)) + 1 : 0,
      .records = record_push_.count(),
      .configuration = routes_.version,
      .servers_revision = follower_.newest_server_change(),
      .members_revision = follower_.newest_member_change(),
      .headroom = load_meter_.headroom(),
      .takes_outlines = true};
}

void Gateway::SendProgress(TimePoint now, uint64_t step) {
  if (now - progress_sent_at_ < kProgressPause) return;
  progress_sent_at_ = now;
  const std::map<std::string, std::string> addresses = peers_.LiveAddresses();
  if (addresses.empty()) return;
  std::map<std::string, ProgressLink::Updates> by_address;
  for (auto& update : jobs_.TakeProgressUpdates(step, kMaxProgressBytes)) {
    const auto address = addresses.find(ownership_.SuccessorOf(update.job));
    if (address == addresses.end()) continue;
    by_address[address->second].push_back(std::move(update));
  }
  for (const auto& [address, updates] : by_address) {
    metrics_.Add("knap_peer_bytes_total", {"progress"},
                 progress_link_.Send(address, updates));
  }
}

}  // namespace knapweedstile::gateway
