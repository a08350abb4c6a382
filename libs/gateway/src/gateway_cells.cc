#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "gateway.h"

// The cells of a divided fleet: which of them have departed, and the jobs that
// this gateway's cell holds because of it.
namespace knapweedstile::gateway {
namespace {

constexpr std::chrono::milliseconds kCellWatchInterval{100};
// Delay per rank, so that one gateway of a cell refutes a claim.
constexpr std::chrono::milliseconds kRefuteRankDelay{150};
constexpr std::chrono::milliseconds kMaxRefuteDelay{1500};
// A gateway without contact for this long may have missed that its cell has
// departed. Shorter than a claim stands.
constexpr std::chrono::milliseconds kMaxIsolation{3000};
// All gateways of a departed cell that still run know of it by then.
constexpr std::chrono::milliseconds kRereadRecordsFor{5000};
constexpr std::chrono::milliseconds kRereadRecordsPause{1000};

// Rank of a gateway among itself and the others, by the hash of its name.
size_t RankAmong(const std::vector<std::string>& others,
                 const std::string& gateway) {
  const uint64_t own = Hash64(gateway);
  return static_cast<size_t>(
      std::count_if(others.begin(), others.end(),
                    [own](const auto& other) { return Hash64(other) < own; }));
}

}  // namespace

void Gateway::OnCellDeparted(const serving::Cell& cell) {
  fleet_.SetDeparted(cell);
  if (members_listed_) RefreshFleet(MonotonicNow());
}

void Gateway::FollowOwnShards(TimePoint now) {
  const std::vector<uint32_t> shards = fleet_.OwnShards();
  const std::vector<uint32_t> before = followed_shards_.value_or(shards);
  followed_shards_ = shards;
  const bool gains = !std::includes(before.begin(), before.end(),
                                    shards.begin(), shards.end());
  if (gains) {
    sync_tracker_.OnJobsAdded(now);
    reread_records_until_ = now + kRereadRecordsFor;
  }
  record_mirrors_.Follow(record_kinds_.OwnKinds());
  if (shards == before) return;
  LogInfo("shards_changed",
          {{"before", before.size()}, {"shards", shards.size()}});
  if (fleet_.layout().cells.empty()) return;
  std::vector<std::string> dropped;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (!fleet_.HoldsJob(id)) dropped.push_back(id);
  }
  for (const std::string& id : dropped) jobs_.RemoveJob(id);
  if (!dropped.empty()) LogWarning("jobs_dropped", {{"jobs", dropped.size()}});
}

// A gateway that reaches the store can claim what it does not hear. Without one
// a gateway probes all the same, so that the other cell is heard from.
bool Gateway::ProbesForCell(TimePoint now) const {
  if (stop_began_at_ != kNever) return false;
  const std::vector<std::string> with_store =
      peers_.HealthyPeersIn(fleet_.own_cell(), now);
  if (store_.available()) return RankAmong(with_store, settings_.name) == 0;
  return with_store.empty() &&
         RankAmong(peers_.ActivePeers(), settings_.name) == 0;
}

void Gateway::RunCellWatch(TimePoint now) {
  if (!cell_watch_.IsInRing() || now < cell_watch_at_) return;
  cell_watch_at_ = now + kCellWatchInterval;
  cell_watch_.SetProbing(ProbesForCell(now));
  cell_probe_.Run(now);
  const size_t rank = RankAmong(peers_.ActivePeers(), settings_.name);
  const Duration turn = kRefuteRankDelay * static_cast<int64_t>(rank);
  cell_claims_.Run(now, std::min<Duration>(turn, kMaxRefuteDelay));
  for (const serving::Cell& cell : cell_watch_.SilentCells(now))
    cell_claims_.OnSilent(cell, now);
  const bool has_store = store_.available() || peers_.HasPeerWithStore(now);
  connected_at_ =
      std::max(connected_at_, has_store ? now : cell_probe_.probed_at());
}

void Gateway::RereadTakenOverRecords(TimePoint now) {
  if (now >= reread_records_until_ || now < reread_records_at_) return;
  reread_records_at_ = now + kRereadRecordsPause;
  record_mirrors_.SkipPause();
}

bool Gateway::HoldsRecord(std::string_view name) const {
  return fleet_.layout().cells.empty() ||
         fleet_.HoldsJob(ParseRecordName(name).id);
}

bool Gateway::MayHoldJobs(TimePoint now) const {
  if (!cell_watch_.IsInRing()) return true;
  return cell_claims_.is_confirmed() && now - connected_at_ < kMaxIsolation;
}

}  // namespace knapweedstile::gateway
