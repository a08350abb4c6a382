#ifndef KNAPWEEDSTILE_GATEWAY_GATEWAY_H_
#define KNAPWEEDSTILE_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "batch/batch_api.h"
#include "batch/batch_runner.h"
#include "batch/job_forwarder.h"
#include "batch/job_ownership.h"
#include "batch/job_writer.h"
#include "batch/native_batch_api.h"
#include "batch/record_kinds.h"
#include "batch/record_reader.h"
#include "batch/result_committer.h"
#include "callers/request_admission.h"
#include "cluster/fleet_view.h"
#include "gateway/gateway_settings.h"
#include "http/server.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "online/online_calls.h"
#include "operators/admin_server.h"
#include "operators/policy_view.h"
#include "pause_detector.h"
#include "peers/gateway_registration.h"
#include "peers/peer_link.h"
#include "peers/progress_link.h"
#include "peers/record_push.h"
#include "peers/state_publisher.h"
#include "peers/sync_tracker.h"
#include "servers/server_connections.h"
#include "servers/server_directory.h"
#include "serving/crash_tracker.h"
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

// One entry on the users' platform: the parts and the paths between them. All
// on one thread: at a fifth of a core each hand-over between threads would cost
// more than the work that it hands over.
class Gateway {
 public:
  Gateway(boost::asio::io_context& io, const GatewaySettings& settings,
          uint64_t seed);

  Result<bool> Start();
  // Graceful shutdown: not ready at once; requests that still come are served
  // until callers know; batch items end or are left to the other entries.
  void BeginStop();

 private:
  bool OnCallerEvent(http::ServerEvent&& event);
  bool ready() const;

  // Ends what a former process of a server had in its hands.
  void OnServerRestarted(BackendServerId former, const std::string& address);
  void OnConfiguration(const platform::StoredObject& object);
  // The workspaces that operators wrote as objects have changed.
  void SetWorkspaceObjects();
  // The directory of the fleet.
  void OnMembersListed(std::vector<platform::StoredObject>&& objects);
  void OnMemberChanged(const platform::StoredObject& object);
  void RemoveMember(const std::string& gateway);
  // Takes what has changed in the directory into account.
  void RefreshFleet(TimePoint now);
  // Who exchanges state with this gateway, by the directory.
  void UpdatePeers();
  // Divides a fleet that is too large for every gateway to hold every job.
  void ProposeLayout(TimePoint now);
  bool AwaitsLayout(TimePoint now) const;
  std::vector<std::string> HolderAddresses(std::string_view job) const;
  // What other cells are told.
  std::optional<PeerState> BuildSummary(TimePoint now);
  void OnPeerSummary(const PeerState& state);
  void SendToCaller(http::ServerCommand&& command);
  // False: the call was passed on to a gateway that holds the job.
  bool HoldsJobOrForwards(const http::RequestEvent& request,
                          const std::string& job, const CallerIdentity& caller);
  void OnJobCall(const http::RequestEvent& request);
  void OnPeerRequest(http::RequestEvent&& request);
  // Its number among the records of this entry.
  uint64_t PushRecord(const StoreRecord& record);
  void OnRecordsAcknowledged();
  void OnPeerState(const PeerState& state);

  void OnPeerStarted(const std::string& entry);
  // Tells the quotas which entries there are.
  void UpdateRateMembers();
  // Sorts the entries that are heard of into cells.
  void UpdateCells();
  void PreemptBatchItem(BackendServerId server, const std::string& entry);
  void RunBatch(TimePoint now);

  // Whether every record that a caller may have seen elsewhere is known here.
  bool HasAllRecords();
  // Whether what the entries that are heard have written is known here.
  bool HasLivePeerRecords();
  void RefreshRecords();
  // Notices that the process stood still.
  void CheckForPause();
  void ScheduleTick();
  void Tick();
  PeerState OwnState() const;
  // Tells the entry that would go on with each item how far it has come.
  void SendProgress(TimePoint now, uint64_t step);
  // The entry has read records of this one that it was not pushed.
  void ConfirmRecoveredRecords(const PeerState& state);
  void AdvanceStop(TimePoint now);
  std::string RenderMetrics();

  boost::asio::io_context& io_;
  GatewaySettings settings_;
  TimePoint started_at_;
  observe::Metrics metrics_;
  observe::Timeline timeline_;
  serving::SlotScheduler scheduler_;
  serving::CrashTracker crash_tracker_;
  serving::JobTable jobs_;
  cluster::FleetView fleet_;
  RecordKinds record_kinds_;
  serving::RouteTable routes_;
  workspaces::WorkspaceDirectory workspaces_;
  workspaces::RateQuota rate_quota_;
  StoreCalls store_;
  ServerDirectory servers_;
  PolicyView policies_;
  uint64_t start_id_;  // of this process: later starts have higher ones
  PeerLink peers_;
  RecordPush record_push_;
  StoreRelay store_relay_;
  ProgressLink progress_link_;
  StatePublisher publisher_;
  StoreFollower follower_;
  SyncTracker sync_tracker_;
  JobOwnership ownership_;
  GatewayRegistration registration_;
  ServerConnections connections_;
  OnlineCalls online_;
  BatchRunner runner_;
  ResultCommitter committer_;
  JobWriter writer_;
  BatchApi batch_api_;
  NativeBatchApi native_batch_api_;
  JobForwarder forwarder_;
  RecordReader record_reader_;
  RequestAdmission admission_;
  RecordCollector collector_;
  http::Server caller_server_;
  AdminServer admin_server_;
  RecordMirrors record_mirrors_;
  boost::asio::steady_timer tick_timer_;

  PauseDetector pause_detector_;
  size_t gateways_in_cell_ = 1;  // this one included
  bool members_listed_ = false;
  bool is_new_member_ = false;
  bool awaits_layout_ = false;
  TimePoint members_changed_at_{};
  TimePoint layout_proposed_at_{};
  TimePoint summary_sent_at_{};
  TimePoint progress_sent_at_{};
  TimePoint records_refreshed_at_{};
  TimePoint stop_began_at_ = kNever;
  bool accepting_ = true;
  bool batch_runs_ended_ = false;  // stopping: runs ended, their progress told
  TimePoint idle_since_{};         // stopping: since when nothing is left to do
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_GATEWAY_H_
