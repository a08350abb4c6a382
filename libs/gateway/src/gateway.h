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
#include "batch/own_batches.h"
#include "batch/record_kinds.h"
#include "batch/record_reader.h"
#include "batch/result_committer.h"
#include "callers/intake.h"
#include "cluster/fleet_view.h"
#include "gateway/gateway_settings.h"
#include "http/server.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "online/online_calls.h"
#include "operators/operators_pages.h"
#include "operators/policy_view.h"
#include "pause_detector.h"
#include "peers/entry_registration.h"
#include "peers/peer_link.h"
#include "peers/progress_link.h"
#include "peers/record_push.h"
#include "peers/state_sharer.h"
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
#include "workspaces/directory.h"
#include "workspaces/rate_quota.h"

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
  std::optional<PeerState> Summary(TimePoint now);
  void OnSummary(const PeerState& state);
  void ToCaller(http::ServerCommand&& command);
  // False: the call was passed on to a gateway that holds the job.
  bool HoldsOrForwards(const http::RequestEvent& request,
                       const std::string& job, const CallerIdentity& caller);
  void OnJobCall(const http::RequestEvent& request);
  void OnPeerRequest(http::RequestEvent&& request);
  // Its number among the records of this entry.
  uint64_t PushRecord(const OwnRecord& record);
  void OnRecordsHeard();
  void OnPeerState(const PeerState& state);

  void OnPeerStarted(const std::string& entry);
  // Tells the quotas which entries there are.
  void UpdateRateMembers();
  // Sorts the entries that are heard of into cells.
  void UpdateCells();
  void Displace(BackendServerId server, const std::string& entry);
  void RunBatch(TimePoint now);

  // Whether every record that a caller may have seen elsewhere is known here.
  bool Current();
  // Whether what the entries that are heard have written is known here.
  bool Complete();
  void RefreshRecords();
  // Notices that the process stood still.
  void NoticePause();
  void ArmTick();
  void Tick();
  PeerState OwnState() const;
  // Tells the entry that would go on with each item how far it has come.
  void ShareProgress(TimePoint now, uint64_t step);
  // The entry has read records of this one that it was not pushed.
  void LearnFilled(const PeerState& state);
  void CheckStopped(TimePoint now);
  std::string RenderMetrics();

  boost::asio::io_context& io_;
  GatewaySettings settings_;
  TimePoint started_at_;
  observe::Metrics metrics_;
  observe::Timeline timeline_;
  serving::SlotScheduler board_;
  serving::CrashTracker crashes_;
  serving::JobTable book_;
  cluster::FleetView fleet_;
  RecordKinds kinds_;
  serving::RouteTable routes_;
  workspaces::Directory workspaces_;
  workspaces::RateQuota rate_;
  StoreCalls store_;
  ServerDirectory servers_;
  PolicyView policies_;
  uint64_t start_;  // of this process: later starts have higher ones
  PeerLink peers_;
  RecordPush push_;
  StoreRelay relay_;
  ProgressLink progress_;
  StateSharer sharer_;
  StoreFollower follower_;
  SyncTracker sync_;
  JobOwnership ownership_;
  EntryRegistration registration_;
  ServerConnections connections_;
  OnlineCalls online_;
  BatchRunner runner_;
  ResultCommitter committer_;
  JobWriter writer_;
  BatchApi batch_;
  OwnBatches own_batches_;
  JobForwarder forwarder_;
  RecordReader records_;
  Intake intake_;
  RecordCollector collector_;
  http::Server callers_;
  OperatorsPages pages_;
  RecordMirrors record_mirrors_;
  boost::asio::steady_timer tick_;

  PauseDetector pauses_;
  size_t entries_in_cell_ = 1;  // this one included
  bool members_listed_ = false;
  bool is_new_member_ = false;
  bool awaits_layout_ = false;
  TimePoint members_changed_at_{};
  TimePoint layout_proposed_at_{};
  TimePoint summary_sent_at_{};
  TimePoint shared_progress_at_{};
  TimePoint refreshed_records_at_{};
  TimePoint stop_began_at_ = kNever;
  bool accepting_ = true;
  bool handed_over_ = false;  // stopping: runs ended, their progress told
  TimePoint idle_since_{};    // stopping: since when nothing is left to do
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_GATEWAY_H_
