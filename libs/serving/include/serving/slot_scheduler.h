#ifndef KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_H_
#define KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/time.h"
#include "base/traffic_class.h"
#include "decide/sharing_policy.h"
#include "decide/sharing_rule.h"
#include "serving/cell.h"
#include "serving/demand_history.h"
#include "serving/placement.h"
#include "serving/server_record.h"
#include "serving/server_usage.h"
#include "serving/slot_count.h"
#include "serving/slot_scheduler_settings.h"
#include "serving/start_rate.h"
#include "serving/usage_by_process.h"

namespace knapweedstile::serving {

// Who uses which backend server's slots, over all entries, and where the next
// request goes. No network, clock or thread: events and the time come in.
//
// Load pattern: online traffic that steps within milliseconds from a third to
// twice its mean, beside batch items that hold a slot for seconds, on backend
// servers that admit in order of arrival. Without the board an online request
// joins a queue behind batch items: seconds instead of milliseconds to its
// first token.
//
// - Online takes a free slot by lot, backend servers weighted by their free
//   slots, those of the own availability zone a little more. What other entries
//   do is known some milliseconds late: all would send to the one that looks
//   emptiest at the same time.
// - Backend servers of this entry's cell come first: what happens there is
//   known within milliseconds, elsewhere a quarter of a second late. Beyond the
//   cell a server is used where more slots are free than others may have taken
//   meanwhile, so that a cell at its limit has room elsewhere.
// - With no free slot it takes a batch item's slot, again by lot. With none of
//   those either it queues only as long as its latency objective allows, and is
//   refused at once beyond that, with the time at which the queue will have
//   moved.
// - Batch starts only where a reserve of free slots remains, and each entry
//   takes its share of the room step by step: entries that start at the same
//   moment see the whole fleet free. (Four entries after a common restart put
//   24 items on servers of 8 slots, and online requests waited for 3 s behind.)
class SlotScheduler {
 public:
  SlotScheduler(SlotSchedulerSettings settings, std::string own_zone,
                uint64_t seed);

  // Commands: what is known of the backend servers.
  void Upsert(const ServerRecord& record);
  void Remove(std::string_view instance);
  // Keeps only the given instances.
  void Retain(std::span<const ServerRecord> records);

  // The entry's cell and how many entries it has, this one included; zero
  // entries: all that report. Without a call the whole fleet is one cell.
  void SetCell(const Cell& cell, size_t entries);

  // Commands: requests of this entry.
  void OnRequestStarted(BackendServerId server, TrafficClass traffic);
  void OnRequestEnded(BackendServerId server, TrafficClass traffic);
  void ObserveDuration(BackendServerId server, Duration duration);
  void MarkUnreachable(BackendServerId server, TimePoint now);
  void MarkFull(BackendServerId server, TimePoint now);
  void MarkReachable(BackendServerId server);
  // How online and batch share the server from now on. Without one, batch has
  // what is free beyond the reserve.
  void SetSharing(BackendServerId server,
                  const std::optional<decide::SharingPolicy>& sharing);
  // Samples what online holds, for sharing by recent demand.
  void ObserveDemand(TimePoint now);

  // Commands: what other entries have outstanding, by the server's process.
  // All that an entry has outstanding.
  void SetPeerUsage(const std::string& entry, const UsageByProcess& usage,
                    TimePoint now);
  // Only what changed; processes that are not named stay as they were.
  void UpdatePeerUsage(const std::string& entry, const UsageByProcess& changed,
                       TimePoint now);
  void RemovePeer(const std::string& entry);
  void ExpirePeerReports(TimePoint now);

  // Decisions. PlaceOnline counts a displaced item of another entry as gone.
  Placement PlaceOnline(std::string_view service, Duration objective,
                        std::span<const BackendServerId> excluded,
                        TimePoint now);
  // Batch items that one of `entries` entries may start until the others know
  // of it: at least one, together at most half of the room there is.
  uint32_t BatchBudget(std::string_view service, size_t entries,
                       TimePoint now) const;
  // Servers at which an own batch item is to be taken back because online
  // requests wait behind it; each item that is taken back is reported by
  // Ended() before the next call. Expects a call every 20 ms or so.
  std::vector<BackendServerId> ServersToPreempt(TimePoint now);
  // Requests outstanding over the slots of a backend server.
  uint32_t Oversubscription(BackendServerId server) const;
  // Zero when no backend server has room beyond the reserve.
  BackendServerId PlaceBatch(std::string_view service,
                             std::span<const BackendServerId> excluded,
                             TimePoint now);

  // Queries.
  const ServerRecord* Record(BackendServerId server) const;
  // Null when no server is registered with that process.
  const ServerRecord* RecordByProcess(ServerProcessId process) const;
  BackendServerId Find(std::string_view instance) const;
  // Slots of the service's usable servers, and those that are free.
  SlotCount CountSlots(std::string_view service, TimePoint now) const;
  // What this entry has outstanding, by the server's process; idle ones are
  // left out.
  UsageByProcess OwnUsage() const;
  ServerUsage UsageOf(BackendServerId server) const;
  size_t server_count() const noexcept { return servers_.size(); }
  std::vector<BackendServerId> Servers() const;
  // Servers on which batch has more than the sharing in force lets it keep, and
  // this entry an item to take back.
  std::vector<BackendServerId> ServersOverBatchLimit() const;
  // Name of the policy in force on the server; "default" without one.
  std::string_view SharingPolicyName(BackendServerId server) const;

 private:
  struct Sharing {
    std::string policy;
    decide::AnySharingRule rule;
    DemandHistory demand;
  };
  struct Server {
    BackendServerId id;
    ServerRecord record;
    ServerProcessId process;
    ServerUsage own_usage;
    ServerUsage peer_usage;  // sum of the live reports
    TimePoint backoff_until{};
    TimePoint oversubscribed_since = kNever;  // more outstanding than slots
    uint32_t failures = 0;
    bool in_cell = true;   // in this entry's cell
    bool removed = false;  // no longer registered; kept while requests run
    std::optional<Sharing> sharing;

    uint32_t online() const noexcept {
      return own_usage.online + peer_usage.online;
    }
    uint32_t batch() const noexcept {
      return own_usage.batch + peer_usage.batch;
    }
    uint32_t total() const noexcept { return online() + batch(); }
  };
  struct PeerReport {
    UsageByProcess usage;
    TimePoint expires_at{};
  };

  bool Usable(const Server& server, std::string_view service,
              std::span<const BackendServerId> excluded) const;
  // Least used first, then the own zone, then by lot.
  bool IsPreferred(const Server& a, uint32_t use_a, const Server& b,
                   uint32_t use_b);
  enum class Locality { kSameCell, kOtherCell };
  static bool HasLocality(const Server& server, Locality reach) {
    return server.in_cell == (reach == Locality::kSameCell);
  }
  // Slots that are free beyond `reserve`, as a weight; online requests.
  double FreeWeight(const Server& server, uint32_t reserve) const;
  // Slots of batch items that an online request would get, as a weight.
  double PreemptionWeight(const Server& server) const;
  // One of the usable servers by lot; `weight` zero leaves a server out.
  template <typename Weight>
  Server* PickWeighted(std::string_view service,
                       std::span<const BackendServerId> excluded, TimePoint now,
                       Weight weight);
  // Items that may still be started on the server.
  uint32_t BatchHeadroom(const Server& server) const;
  decide::BatchLimit LimitOf(const Server& server) const;
  // Items that this entry may start within `reach` until others know of it.
  double TotalBatchHeadroom(std::string_view service, Locality reach,
                            TimePoint now) const;
  // Entries whose changes come here at once, this one included.
  size_t GatewaysInCell() const;
  // Whether few slots of the service are free.
  bool FreeSlotsAreScarce(std::string_view service, TimePoint now) const;
  double ZoneFactor(const Server& server) const;
  Server* LeastUsed(std::string_view service,
                    std::span<const BackendServerId> excluded, TimePoint now);
  Placement PreemptBatch(Server& server);
  Placement PlaceInQueue(Server& server, Duration objective);
  // Keeps the process of the server's record as the one that reports name.
  void IndexProcess(Server& server);
  // Where the record is of a new process of a known instance.
  void RetireFormerProcess(const ServerRecord& record);
  // The present process of that name; null when there is none.
  Server* FindProcess(ServerProcessId process);
  void SumPeerUsage();
  void ApplyUsage(PeerReport& report, ServerProcessId process,
                  ServerUsage usage, TimePoint now);
  void BackOff(Server& server, Duration time, TimePoint now);
  Server* FindServer(BackendServerId id);

  SlotSchedulerSettings settings_;
  std::string own_zone_;
  Cell cell_;
  size_t gateways_in_cell_ = 0;
  Rng rng_;
  uint64_t last_id_ = 0;
  std::map<BackendServerId, Server> servers_;
  std::unordered_map<std::string, BackendServerId> by_instance_;
  std::unordered_map<ServerProcessId, BackendServerId> by_process_;
  std::map<std::string, PeerReport> peer_reports_;
  std::unordered_map<std::string, double> mean_duration_seconds_;  // by service
  // Online requests that other entries start in this cell, by service.
  std::unordered_map<std::string, StartRate> peer_start_rate_;
  TimePoint demand_sampled_at_{};
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_H_
