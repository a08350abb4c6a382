#ifndef KNAPWEEDSTILE_GATEWAY_GATEWAY_H_
#define KNAPWEEDSTILE_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/log_budget.h"
#include "batch/batch_api.h"
#include "batch/batch_runner.h"
#include "batch/job_forwarder.h"
#include "batch/job_ownership.h"
#include "batch/job_writer.h"
#include "batch/large_result_index.h"
#include "batch/large_result_reader.h"
#include "batch/large_result_writer.h"
#include "batch/native_batch_api.h"
#include "batch/outline_calls.h"
#include "batch/record_fetcher.h"
#include "batch/record_kinds.h"
#include "batch/record_reader.h"
#include "batch/result_committer.h"
#include "callers/connection_gate.h"
#include "callers/request_admission.h"
#include "cluster/cell_watch.h"
#include "cluster/fleet_view.h"
#include "cluster/job_holders.h"
#include "gateway/gateway_settings.h"
#include "http/server.h"
#include "load_meter.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "online/online_calls.h"
#include "online/origin_record.h"
#include "online/stream_registry.h"
#include "operators/admin_server.h"
#include "operators/policy_view.h"
#include "pause_detector.h"
#include "peers/cell_claims.h"
#include "peers/cell_probe.h"
#include "peers/found_records.h"
#include "peers/gateway_registration.h"
#include "peers/layout_record.h"
#include "peers/peer_link.h"
#include "peers/progress_link.h"
#include "peers/record_push.h"
#include "peers/state_publisher.h"
#include "peers/sync_tracker.h"
#include "resource_limits.h"
#include "servers/server_connections.h"
#include "servers/server_directory.h"
#include "serving/crash_tracker.h"
#include "serving/crashing_parts.h"
#include "serving/job_table.h"
#include "serving/route_table.h"
#include "serving/slot_scheduler.h"
#include "store/record_collector.h"
#include "store/record_mirrors.h"
#include "store/store_calls.h"
#include "store/store_follower.h"
#include "store/store_relay.h"
#include "workspaces/rate_quota.h"
#include "workspaces/workspace_directory.h"

namespace knapweedstile::gateway {

// One gateway: owns all components and connects their callbacks. Everything
// runs on one thread: a gateway is deployed with a fifth of a core, where
// handing work to another thread would cost more than the work itself.
class Gateway {
 public:
  Gateway(boost::asio::io_context& io, const GatewaySettings& settings,
          uint64_t seed);

  Result<bool> Start();
  // Starts a graceful shutdown. The gateway reports itself as not ready at once
  // but still serves requests until the load balancer has removed it. Running
  // batch items finish or are left to the peers.
  void BeginStop();

 private:
  bool OnCallerEvent(http::ServerEvent&& event);
  bool ready() const;

  // Ends the requests and batch items that ran on a server's previous process.
  void OnServerRestarted(BackendServerId previous, const std::string& address);
  void OnConfiguration(const platform::StoredObject& object,
                       ConfigurationSource source);
  // Copies the workspaces defined as operator objects to the directory.
  void SetWorkspaceObjects();
  // Called with the member records of the fleet, in full or one at a time.
  void OnMembersListed(std::vector<platform::StoredObject>&& objects);
  void OnMemberChanged(const platform::StoredObject& object);
  void RemoveMember(const std::string& gateway);
  // Applies changes of the member records and of the layout.
  void RefreshFleet(TimePoint now);
  // Derives the peers, with which this gateway exchanges state, from the member
  // records.
  void UpdatePeers();
  // Proposes a sharded layout if the fleet is too large for every gateway to
  // hold every job. Each job then belongs to one shard, which one cell holds,
  // and FleetView::divided() is true.
  void ProposeLayout(TimePoint now);
  // Creates the layout for the fleet as it is now, unless it exists.
  void CreateLayout(LayoutRecord::Callback done);
  void OnLayoutLearned(const cluster::FleetLayout& layout);
  void OnCellDeparted(const serving::Cell& cell);
  // Whether this gateway has just started and still waits for the layout before
  // it exchanges state and accepts jobs.
  bool AwaitsLayout(TimePoint now) const;
  bool IsTooLargeToBeUndivided() const;
  // Follows the records of the shards that this cell holds now, and drops the
  // jobs of shards that it no longer holds.
  void FollowOwnShards(TimePoint now);
  // Watches other cells and takes part in the decision whether one has
  // departed.
  void RunCellWatch(TimePoint now);
  // After a takeover, reads results that gateways of the departed cell still
  // wrote, since they did not know of it yet.
  void RereadTakenOverRecords(TimePoint now);
  // Whether this gateway probes other cells on behalf of its own.
  bool ProbesForCell(TimePoint now) const;
  // Whether this gateway's cell holds the record's job. A gateway that does not
  // know yet that the cell has departed may still push records.
  bool HoldsRecord(std::string_view name) const;
  // Whether this gateway would know if its cell had departed. Without the store
  // and unprobed by other cells it would not, and acts on no job.
  bool MayHoldJobs(TimePoint now) const;
  void RunOriginRecord(TimePoint now);
  // Passes on to the origin record where streams begin now.
  void UpdateOrigins();
  std::vector<std::string> HolderAddresses(std::string_view job) const;
  // Returns the state for other cells, or none if there is nothing to send. A
  // store reader also advertises its state to them.
  std::optional<PeerState> BuildSummary(TimePoint now);
  void OnPeerSummary(const PeerState& state);
  void SendToCaller(http::ServerCommand&& command);
  using JobCallHandler = std::function<void(http::RequestEvent&&)>;
  // Learns the layout if it is needed to locate the job, then calls `serve` if
  // this gateway holds the job. Otherwise forwards the call or responds with an
  // error. `submits`: the call may create the job.
  void ServeIfHolder(http::RequestEvent&& request, const std::string& job,
                     const CallerIdentity& caller, bool submits,
                     JobCallHandler serve);
  // Returns true if this gateway holds the job. Otherwise forwards the call to
  // a gateway that holds it, or responds with an error, and returns false.
  bool HoldsJobOrForwards(const http::RequestEvent& request,
                          const std::string& job, const CallerIdentity& caller);
  void RespondFleetUnknown(ExchangeId exchange, const CallerIdentity& caller);
  void OnJobCall(const http::RequestEvent& request);
  void OnPeerRequest(http::RequestEvent&& request);
  // Sends the record to the live peers, in full to the holders of its job.
  // Returns its sequence number among the records of this gateway.
  uint64_t PushRecord(const StoreRecord& record);
  // A record that was not known here was read from the store.
  void OnRecordFound(const platform::StoredObject& object);
  void PushFoundRecords(TimePoint now);
  // Whether this gateway starts items of the job now. Without the items' bodies
  // it first reads them.
  bool RunsItemsOf(const serving::BatchJob& job);
  // Whether the configuration in force here is not older than the job's
  // acceptance. Otherwise newer versions are looked for.
  bool HasConfigurationOf(const serving::BatchJob& job);
  // The gateways that are to hold a job that this gateway accepts now.
  cluster::HolderPair ChooseHolders(const std::string& job) const;
  // Addresses of the other gateways that have the job's bytes, those in this
  // zone first, then its owner.
  std::vector<std::string> AddressesOfHolders(const std::string& job) const;
  void OnRecordsAcknowledged();
  void OnPeerState(const PeerState& state);

  void OnPeerStarted(const std::string& gateway);
  // Updates the fleet members that share the rate limits.
  void UpdateRateMembers();
  // Assigns the reachable gateways to cells.
  void UpdateCells();
  // Preempts a batch item on the server: one of this gateway if `peer` is
  // empty, otherwise one of that peer.
  void PreemptBatchItem(BackendServerId server, const std::string& peer);
  void RunBatch(TimePoint now);
  // Tells peers whether they run this gateway's jobs, if that has changed.
  void ReportHandover(TimePoint now);

  // Whether this gateway has received every record that a caller may already
  // have seen on another gateway.
  bool HasAllRecords();
  // Whether this gateway has received all records that live peers have written.
  bool HasLivePeerRecords();
  void RefreshRecords();
  // Checks whether the process was suspended; if so, invalidates the state that
  // may be stale.
  void CheckForPause();
  void UpdateCrashingParts(TimePoint now);
  void ScheduleTick();
  void Tick();
  void MeasureLoad(TimePoint now);
  void LimitConnections(TimePoint now);
  // Whether most peers have processor time left.
  bool PeersHaveRoom() const;
  // Share of its processor time that a gateway, also this one, has left.
  double HeadroomOf(const std::string& gateway) const;
  PeerState OwnState() const;
  // Sends the progress of each running item to the gateway that would take over
  // its job. `step`: minimum number of new events to report.
  void SendProgress(TimePoint now, uint64_t step);
  // The peer missed pushes of this gateway's records and has read these records
  // from the store: marks them as acknowledged.
  void ConfirmRecoveredRecords(const PeerState& state);
  // Performs the steps of the shutdown that are due.
  void AdvanceStop(TimePoint now);
  void SetWaitingItems(TimePoint now);
  std::string RenderMetrics();

  boost::asio::io_context& io_;
  GatewaySettings settings_;
  ResourceLimits limits_;
  TimePoint started_at_;
  observe::Metrics metrics_;
  observe::Timeline timeline_;
  serving::SlotScheduler scheduler_;
  serving::CrashTracker crash_tracker_;
  serving::CrashingParts crashing_parts_;
  serving::JobTable jobs_;
  cluster::FleetView fleet_;
  RecordKinds record_kinds_;
  serving::RouteTable routes_;
  workspaces::WorkspaceDirectory workspaces_;
  workspaces::RateQuota rate_quota_;
  StoreCalls store_;
  ServerDirectory servers_;
  PolicyView policies_;
  uint64_t start_id_;  // of this process; increases with every start
  PeerLink peers_;
  RecordPush record_push_;
  StoreRelay store_relay_;
  ProgressLink progress_link_;
  StatePublisher publisher_;
  StreamRegistry stream_registry_;
  StoreFollower follower_;
  SyncTracker sync_tracker_;
  FoundRecords found_records_;
  JobOwnership ownership_;
  GatewayRegistration registration_;
  LayoutRecord layout_record_;
  OriginRecord origin_record_;
  cluster::CellWatch cell_watch_;
  CellProbe cell_probe_;
  CellClaims cell_claims_;
  ServerConnections connections_;
  OnlineCalls online_;
  BatchRunner runner_;
  LargeResultIndex large_result_index_;
  LargeResultWriter large_result_writer_;
  ResultCommitter committer_;
  JobWriter writer_;
  BatchApi batch_api_;
  NativeBatchApi native_batch_api_;
  JobForwarder forwarder_;
  RecordReader record_reader_;
  LargeResultReader large_result_reader_;
  RecordFetcher record_fetcher_;
  OutlineCalls outline_calls_;
  RequestAdmission admission_;
  RecordCollector collector_;
  http::Server caller_server_;
  AdminServer admin_server_;
  RecordMirrors record_mirrors_;
  boost::asio::steady_timer tick_timer_;

  TimePoint tick_due_at_{};
  LoadMeter load_meter_;
  ConnectionGate connection_gate_;
  bool short_of_processor_ = false;
  LogBudget load_log_budget_{0.1, 4};
  PauseDetector pause_detector_;
  // Configuration and registrations that the origin record has received.
  std::pair<uint64_t, uint64_t> origins_updated_at_{};
  size_t gateways_in_cell_ = 1;  // including this one
  bool members_listed_ = false;
  bool is_new_member_ = false;
  bool awaits_layout_ = false;
  bool exceeds_layout_ = false;  // the fleet is too large to be undivided
  // Shards that record_mirrors_ follows; none before the first time.
  std::optional<std::vector<uint32_t>> followed_shards_;
  TimePoint cell_watch_at_{};
  TimePoint reread_records_until_{};
  TimePoint reread_records_at_{};
  // When the store was last reached, directly or by a peer, or another cell
  // last probed this one.
  TimePoint connected_at_{};
  TimePoint members_changed_at_{};
  TimePoint layout_proposed_at_{};
  TimePoint summary_sent_at_{};
  TimePoint progress_sent_at_{};
  bool hands_jobs_over_ = false;
  TimePoint records_refreshed_at_{};
  TimePoint stop_began_at_ = kNever;
  bool accepting_ = true;
  bool batch_runs_ended_ = false;  // shutdown: runs ended, progress sent
  TimePoint idle_since_{};         // shutdown: start of the current idle time
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_GATEWAY_H_
