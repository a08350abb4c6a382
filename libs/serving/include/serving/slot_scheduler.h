#ifndef KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_H_
#define KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
#include "serving/pace_sample.h"
#include "serving/placement.h"
#include "serving/server_filter.h"
#include "serving/server_pace.h"
#include "serving/server_record.h"
#include "serving/server_usage.h"
#include "serving/slot_count.h"
#include "serving/slot_scheduler_settings.h"
#include "serving/start_rate.h"
#include "serving/usage_by_process.h"

namespace knapweedstile::serving {

// Tracks which slots of the backend servers are in use, over all gateways, and
// decides where requests go. Pure logic: no I/O, no clock, no threads; the
// caller passes the time.
//
// Designed for online traffic that steps within milliseconds from a third to
// twice its mean, next to batch items that hold a slot for seconds, on backend
// servers that admit requests in order of arrival. Without the slot accounting
// an online request would queue behind batch items, and its first token would
// take seconds instead of milliseconds.
//
// - An online request goes to a server with a free slot by weighted random
//   choice. The weight is the number of free slots, somewhat higher in the own
//   availability zone. Usage reported by peers is some milliseconds old, so
//   with a deterministic choice all gateways would pick the same, apparently
//   emptiest server.
// - Backend servers of this gateway's cell come first: their usage is known
//   within milliseconds, that of other cells with a delay of a quarter of a
//   second. A server in another cell is used only where more slots are free
//   than gateways there may have taken since their last report, so that a full
//   cell can overflow into other cells.
// - Without a free slot the request preempts a batch item, again by weighted
//   random choice. Without a batch item to preempt it queues, but only as long
//   as its latency objective allows. Beyond that it is rejected at once, with
//   the time after which to retry.
// - Batch items start only where a reserve of free slots remains, and each
//   gateway uses its share of the headroom step by step, since gateways that
//   start at the same moment would all count the same slots as free. Without
//   this, four gateways that restarted together put 24 items on servers of 8
//   slots, and online requests waited 3 s behind them.
class SlotScheduler {
 public:
  SlotScheduler(SlotSchedulerSettings settings, std::string own_zone,
                uint64_t seed);

  // Commands: registrations of backend servers.
  void Upsert(const ServerRecord& record);
  void Remove(std::string_view instance);
  // Removes all servers but those in `records`.
  void Retain(std::span<const ServerRecord> records);

  // Sets this gateway's cell and the number of gateways in it, this one
  // included. If `gateways` is zero, all gateways of the fleet are assumed to
  // be in the cell. Before the first call the whole fleet is one cell.
  void SetCell(const Cell& cell, size_t gateways);

  // Commands: requests of this gateway.
  void OnRequestStarted(BackendServerId server, TrafficClass traffic);
  void OnRequestEnded(BackendServerId server, TrafficClass traffic);
  void ObserveDuration(BackendServerId server, Duration duration);
  // The server's load is added to the sample.
  void ObservePace(BackendServerId server, PaceSample sample);
  void OnAttemptServed(BackendServerId server, TimePoint now);
  void OnAttemptFailed(BackendServerId server, TimePoint now);
  void MarkUnreachable(BackendServerId server, TimePoint now);
  void MarkFull(BackendServerId server, TimePoint now);
  void MarkReachable(BackendServerId server);
  // Sets how online and batch requests share the server. Without a policy,
  // batch may use what is free beyond the reserve.
  void SetSharing(BackendServerId server,
                  const std::optional<decide::SharingPolicy>& sharing);
  // Samples the online requests per server, for policies that follow recent
  // demand. Samples at most every 100 ms.
  void ObserveDemand(TimePoint now);

  // Commands: usage reported by peers, by server process. Full report:
  // processes that are not listed are idle.
  void SetPeerUsage(const std::string& peer, const UsageByProcess& usage,
                    TimePoint now);
  // Incremental report: processes that are not listed keep their usage.
  void UpdatePeerUsage(const std::string& peer, const UsageByProcess& changed,
                       TimePoint now);
  void RemovePeer(const std::string& peer);
  void ExpirePeerReports(TimePoint now);

  // Decisions. PlaceOnline subtracts the preempted item of a peer from the
  // reported usage, ahead of the next report.
  Placement PlaceOnline(std::string_view service, Duration objective,
                        const ServerFilter& filter, TimePoint now);
  // Number of batch items that one of `gateways` gateways may start until its
  // peers have received its next report: at least one; together the gateways
  // use at most half of the headroom.
  uint32_t BatchBudget(std::string_view service, size_t gateways,
                       TimePoint now) const;
  // Servers on which one of this gateway's batch items must be preempted
  // because online requests wait behind it. The caller reports each preempted
  // item through OnRequestEnded() before the next call. Expects a call about
  // every 20 ms.
  std::vector<BackendServerId> ServersToPreempt(TimePoint now);
  // Number of outstanding requests beyond the slots of a backend server.
  uint32_t Oversubscription(BackendServerId server) const;
  // Zero (no server) when no backend server has headroom beyond the reserve. An
  // item goes to a slow server if it will end there well before it is due, so
  // that fast ones are left to online requests.
  BackendServerId PlaceBatch(std::string_view service,
                             const ServerFilter& filter, TimePoint now,
                             TimePoint due_at = kNever);

  // Pace and failures of the servers, by process.
  ServerPace& pace() noexcept { return pace_; }
  const ServerPace& pace() const noexcept { return pace_; }

  // Queries.
  const ServerRecord* Record(BackendServerId server) const;
  // Null when no registered server has that process.
  const ServerRecord* RecordByProcess(ServerProcessId process) const;
  BackendServerId Find(std::string_view instance) const;
  // Whether a server of the service takes requests.
  bool HasServer(std::string_view service) const;
  // Whether a server of the service that takes requests has that software
  // version.
  bool HasVersion(std::string_view service, std::string_view software) const;
  // The software versions of all registered servers of the service.
  std::set<std::string> VersionsOf(std::string_view service) const;
  // Changes whenever a server is registered, changed or removed.
  uint64_t registrations() const noexcept { return registrations_; }
  // Total and free slots over the usable servers of the service.
  SlotCount CountSlots(std::string_view service, TimePoint now) const;
  // Outstanding requests of this gateway, by server process; idle processes are
  // left out.
  UsageByProcess OwnUsage() const;
  ServerUsage UsageOf(BackendServerId server) const;
  // Zero when the server is not known.
  ServerProcessId Process(BackendServerId server) const;
  size_t server_count() const noexcept { return servers_.size(); }
  std::vector<BackendServerId> Servers() const;
  // Servers on which batch exceeds the limit of the sharing policy and this
  // gateway runs a batch item that it can preempt.
  std::vector<BackendServerId> ServersOverBatchLimit() const;
  // Name of the sharing policy that applies to the server; "default" without
  // one.
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
    ServerUsage peer_usage;  // sum over reachable peers
    TimePoint backoff_until{};
    TimePoint oversubscribed_since = kNever;  // more requests than slots
    uint32_t failures = 0;
    bool in_cell = true;   // in this gateway's cell
    bool removed = false;  // unregistered; kept while requests run
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
              const ServerFilter& filter) const;
  // Least work first, then the own zone, then at random.
  bool IsPreferred(const Server& a, double work_a, const Server& b,
                   double work_b);
  // Factors on the weight of a server by its pace; one if it looks like others.
  double PaceWeight(const Server& server) const;
  double BatchPaceWeight(const Server& server, TimePoint now,
                         TimePoint due_at) const;
  bool Avoided(const Server& server) const;
  enum class Locality { kSameCell, kOtherCell };
  static bool HasLocality(const Server& server, Locality locality) {
    return server.in_cell == (locality == Locality::kSameCell);
  }
  // Weight of a server for an online request: free slots beyond `reserve`.
  double FreeWeight(const Server& server, uint32_t reserve) const;
  // Weight of a server for preemption: batch slots that an online request would
  // get.
  double PreemptionWeight(const Server& server) const;
  // Weighted random choice among the usable servers; weight zero excludes a
  // server. Null when all are excluded.
  template <typename Weight>
  Server* PickWeighted(std::string_view service, const ServerFilter& filter,
                       TimePoint now, Weight weight);
  // Batch items that may still start on the server.
  uint32_t BatchHeadroom(const Server& server) const;
  decide::BatchLimit LimitOf(const Server& server) const;
  // Batch items that may still start on usable servers of the locality.
  double TotalBatchHeadroom(std::string_view service, Locality locality,
                            TimePoint now) const;
  // Gateways of this cell, this one included.
  size_t GatewaysInCell() const;
  // Whether peers may take the free slots of the service before their reports
  // arrive.
  bool FreeSlotsAreScarce(std::string_view service, TimePoint now) const;
  double ZoneFactor(const Server& server) const;
  Server* LeastUsed(std::string_view service, const ServerFilter& filter,
                    TimePoint now);
  Placement PreemptBatch(Server& server);
  Placement PlaceInQueue(Server& server, Duration objective);
  // Updates the index by process, which finds the server that a peer report
  // refers to.
  void IndexProcess(Server& server);
  // Removes the previous process when the record is of a restarted server.
  void RemovePreviousProcess(const ServerRecord& record);
  // Null when no registered server has that process.
  Server* FindProcess(ServerProcessId process);
  void SumPeerUsage();
  void ApplyUsage(PeerReport& report, ServerProcessId process,
                  ServerUsage usage, TimePoint now);
  void BackOff(Server& server, Duration duration, TimePoint now);
  Server* FindServer(BackendServerId id);

  SlotSchedulerSettings settings_;
  std::string own_zone_;
  Cell cell_;
  size_t gateways_in_cell_ = 0;
  Rng rng_;
  uint64_t last_id_ = 0;
  uint64_t registrations_ = 0;
  std::map<BackendServerId, Server> servers_;
  std::unordered_map<std::string, BackendServerId> by_instance_;
  std::unordered_map<ServerProcessId, BackendServerId> by_process_;
  std::map<std::string, PeerReport> peer_reports_;
  std::unordered_map<std::string, double> mean_duration_seconds_;  // by service
  // Rate at which peers start online requests in this cell, by service.
  std::unordered_map<std::string, StartRate> peer_start_rate_;
  ServerPace pace_;
  TimePoint demand_sampled_at_{};
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_H_
