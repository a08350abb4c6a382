#include <algorithm>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/job_call.h"
#include "batch/job_records.h"
#include "callers/error_response.h"
#include "gateway.h"
#include "peers/member_records.h"
#include "platform/store_request.h"

// Fleet membership: the member records, this gateway's cell, and the jobs that
// the cell holds.
namespace knapweedstile::gateway {
namespace {

// All gateways of a starting fleet register within this time, which exceeds one
// pause of the mirror of the member records.
constexpr std::chrono::milliseconds kMembersSettle{700};
// Delay per rank, so that gateways propose a layout one after another and one
// write is enough.
constexpr std::chrono::milliseconds kProposalRankDelay{200};
constexpr std::chrono::milliseconds kProposalPause{3000};
// Delay per rank, after which the write of a lower rank is known: one write of
// the origin record is enough.
constexpr std::chrono::milliseconds kOriginsRankDelay{150};
constexpr std::chrono::milliseconds kMaxOriginsDelay{1500};
constexpr std::chrono::milliseconds kRecordListTimeout{1500};
// For this long after its start, a gateway of a fleet that will be divided
// waits for the layout instead of exchanging state with all others.
constexpr std::chrono::seconds kAwaitLayout{10};
// Time after a start until the peers, and so the cell's store readers, are
// known.
constexpr std::chrono::milliseconds kPeerDiscovery{2000};
constexpr std::chrono::milliseconds kUnknownFleetRetry{300};
// Minimum time between summaries that contain no rates.
constexpr std::chrono::milliseconds kSummaryPause{1000};

}  // namespace

void Gateway::OnMembersListed(std::vector<platform::StoredObject>&& objects) {
  uint64_t own_version = 0;
  std::string own_value;
  std::set<std::string> present;
  bool has_origins = false;
  for (const platform::StoredObject& object : objects) {
    has_origins = has_origins || object.name == kOriginsName;
    const auto gateway = ParseMemberRecordName(object.name);
    if (gateway) present.insert(*gateway);
    if (gateway == settings_.name) {
      own_version = object.version;
      own_value = object.value;
    }
    OnMemberChanged(object);
  }
  std::vector<std::string> removed;
  for (const auto& [gateway, member] : fleet_.members()) {
    if (!present.contains(gateway)) removed.push_back(gateway);
  }
  for (const std::string& gateway : removed) RemoveMember(gateway);
  if (!has_origins) origin_record_.OnNoRecord(present.empty(), MonotonicNow());
  if (!members_listed_) {
    is_new_member_ = own_version == 0;
    // The first list may be stale.
    if (!is_new_member_) cell_claims_.ReadOwnClaim(MonotonicNow());
  }
  members_listed_ = true;
  registration_.Register(own_version, own_value);
  RefreshFleet(MonotonicNow());
}

void Gateway::OnMemberChanged(const platform::StoredObject& object) {
  const auto gateway = ParseMemberRecordName(object.name);
  if (object.deleted) {
    if (gateway) RemoveMember(*gateway);
    return;
  }
  if (gateway) {
    const auto member = DecodeMember(object.value);
    if (member) return fleet_.SetMember(*gateway, *member);
  } else if (object.name == kLayoutName) {
    const auto layout = DecodeLayout(object.value);
    if (layout) return OnLayoutLearned(*layout);
  } else if (object.name == kOriginsName) {
    return origin_record_.OnRecord(object);
  } else if (IsClaimRecordName(object.name)) {
    return cell_claims_.OnRecord(object, MonotonicNow());
  }
  LogWarning("member_record_invalid", {{"name", object.name}});
}

void Gateway::RemoveMember(const std::string& gateway) {
  if (gateway == settings_.name) return;
  fleet_.RemoveMember(gateway);
  peers_.RemoveAddress(gateway);
  sync_tracker_.RemovePeer(gateway);
  rate_quota_.RemovePeer(Hash64(gateway));
}

// A gateway that registers for the first time has no pending work, so it waits
// to see how many others register.
bool Gateway::AwaitsLayout(TimePoint now) const {
  if (fleet_.layout_known()) return false;
  if (is_new_member_ && now < started_at_ + kMembersSettle) return true;
  return now < started_at_ + kAwaitLayout && IsTooLargeToBeUndivided();
}

bool Gateway::IsTooLargeToBeUndivided() const {
  return fleet_.members().size() > settings_.max_undivided_gateways;
}

void Gateway::RunOriginRecord(TimePoint now) {
  UpdateOrigins();
  if (origins_updated_at_.first == 0 || !members_listed_) return;
  const Duration turn =
      kOriginsRankDelay * static_cast<int64_t>(fleet_.OwnRank());
  origin_record_.Run(now, std::min<Duration>(turn, kMaxOriginsDelay));
}

void Gateway::UpdateOrigins() {
  if (routes_.version == 0 || !follower_.knows_servers()) return;
  const std::pair known(routes_.version, scheduler_.registrations());
  if (std::exchange(origins_updated_at_, known) == known) return;
  RouteOrigins origins;
  for (const serving::Route& route : routes_.routes) {
    if (route.kind != serving::RouteKind::kStream || !route.resumable) continue;
    std::set<OriginName>& names = origins[route.name];
    for (const serving::ServiceShare& share : route.services) {
      for (const std::string& software : scheduler_.VersionsOf(share.service))
        names.emplace(share.service, software);
    }
  }
  origin_record_.OnInService(std::move(origins));
}

void Gateway::OnLayoutLearned(const cluster::FleetLayout& layout) {
  const bool is_new = !fleet_.layout_known();
  if (!fleet_.SetLayout(layout)) {
    LogError("layout_refused",
             {{"shards", layout.shards}, {"in_force", fleet_.layout().shards}});
  } else if (is_new) {
    LogInfo("layout_known", {{"shards", layout.shards}});
    if (members_listed_) RefreshFleet(MonotonicNow());
  }
}

void Gateway::UpdatePeers() {
  std::set<std::string> peers;
  std::vector<std::string> others;
  for (const std::string& peer : fleet_.Peers()) peers.insert(peer);
  if (awaits_layout_) peers.clear();
  if (fleet_.divided() || awaits_layout_) {
    for (const std::string& dropped : peers_.KeepPeers(peers)) {
      scheduler_.RemovePeer(dropped);
      crash_tracker_.RemovePeer(dropped);
      sync_tracker_.RemovePeer(dropped);
    }
  }
  for (const auto& [gateway, member] : fleet_.members()) {
    if (gateway == settings_.name) continue;
    if (peers.contains(gateway)) {
      sync_tracker_.AddPeer(gateway, MonotonicNow());
      peers_.SetAddress(gateway, member.address);
    } else {
      others.push_back(member.address);
    }
  }
  peers_.SetRemoteGateways(fleet_.divided() ? others
                                            : std::vector<std::string>());
}

void Gateway::RefreshFleet(TimePoint now) {
  if (!members_listed_) return;
  const bool changed = fleet_.Refresh();
  const bool awaits_layout = AwaitsLayout(now);
  const bool is_large = fleet_.divided() || awaits_layout;
  follower_.SetWaitForReadersUntil(
      is_large && is_new_member_ ? started_at_ + kPeerDiscovery : TimePoint{});
  if (!changed && awaits_layout == awaits_layout_) return ProposeLayout(now);
  if (changed) members_changed_at_ = now;
  awaits_layout_ = awaits_layout;
  UpdatePeers();
  UpdateCells();
  cell_claims_.SetOwnCell(fleet_.own_cell());
  cell_watch_.SetHoldingCells(fleet_.HoldingCells(), fleet_.own_cell());
  if (!awaits_layout_) FollowOwnShards(now);
  const size_t members = fleet_.members().size();
  const bool exceeds_layout =
      fleet_.layout_known() && !fleet_.divided() && IsTooLargeToBeUndivided();
  if (exceeds_layout != std::exchange(exceeds_layout_, exceeds_layout) &&
      exceeds_layout) {
    LogWarning("fleet_exceeds_layout", {{"members", members}});
  }
  LogInfo("fleet", {{"members", members},
                    {"shards", fleet_.layout().shards},
                    {"peers", fleet_.Peers().size()},
                    {"cell", fleet_.own_cell().availability_zone},
                    {"part", fleet_.own_cell().part}});
}

void Gateway::ProposeLayout(TimePoint now) {
  if (fleet_.layout_known() || !IsTooLargeToBeUndivided()) return;
  const Duration turn =
      kProposalRankDelay * static_cast<int64_t>(fleet_.OwnRank());
  if (now < members_changed_at_ + kMembersSettle + turn) return;
  if (now < layout_proposed_at_ + kProposalPause) return;
  layout_proposed_at_ = now;
  CreateLayout([](bool) {});
}

// Gateways of older versions accept jobs without a layout. A fleet that has
// such jobs stays undivided, so that they are found.
void Gateway::CreateLayout(LayoutRecord::Callback done) {
  const cluster::FleetLayout layout =
      fleet_.NewLayout(settings_.max_undivided_gateways);
  if (!layout.divided() || !jobs_.jobs().empty()) {
    return layout_record_.Create({}, std::move(done));
  }
  store_.Call(
      platform::ListRequest{.kind = kRecordKind},
      MonotonicNow() + kRecordListTimeout,
      [this, layout, done = std::move(done)](platform::StoreAnswer&& answer) {
        if (answer.outcome != platform::StoreOutcome::kOk) return done(false);
        const bool has_jobs = !answer.objects.empty();
        layout_record_.Create(has_jobs ? cluster::FleetLayout() : layout, done);
      });
}

std::vector<std::string> Gateway::HolderAddresses(std::string_view job) const {
  std::vector<std::string> addresses;
  for (const std::string& gateway : fleet_.HoldersOf(job)) {
    addresses.push_back(fleet_.members().at(gateway).address);
  }
  return addresses;
}

// Guards against a job that is accepted or looked for where its records are
// not: this gateway may not have heard of the layout yet.
void Gateway::ServeIfHolder(http::RequestEvent&& request,
                            const std::string& job,
                            const CallerIdentity& caller, bool submits,
                            JobCallHandler serve) {
  const bool knows_members = members_listed_ && !awaits_layout_;
  const bool needs_layout =
      !fleet_.layout_known() && !job.empty() && !jobs_.Find(job);
  if (!needs_layout || !knows_members) {
    if (HoldsJobOrForwards(request, job, caller)) serve(std::move(request));
    return;
  }
  const auto call = std::make_shared<http::RequestEvent>(std::move(request));
  auto go_on = [this, call, job, caller, submits,
                serve = std::move(serve)](bool answered) {
    if (submits ? !fleet_.layout_known() : !answered) {
      return RespondFleetUnknown(call->exchange, caller);
    }
    if (HoldsJobOrForwards(*call, job, caller)) serve(std::move(*call));
  };
  if (submits) {
    CreateLayout(std::move(go_on));
  } else {
    layout_record_.Read(std::move(go_on));
  }
}

bool Gateway::HoldsJobOrForwards(const http::RequestEvent& request,
                                 const std::string& job,
                                 const CallerIdentity& caller) {
  const bool forwarded = RecordPush::IsPeerExchange(request.exchange);
  // The job cannot be located until the members and the layout are known.
  const bool knows_fleet = members_listed_ && !awaits_layout_;
  const bool holds = knows_fleet && (job.empty() || fleet_.HoldsJob(job));
  // Without named cells, a job may be here whose shard has moved.
  const bool known_here = fleet_.layout().cells.empty() && jobs_.Find(job);
  if (known_here || (holds && MayHoldJobs(MonotonicNow()))) return true;
  if (forwarded) {
    record_push_.Execute(http::RespondCommand{
        .exchange = request.exchange, .status = JobForwarder::kMisdirected});
  } else if (knows_fleet && !holds) {
    forwarder_.Forward(request, job, caller);
  } else {
    RespondFleetUnknown(request.exchange, caller);
  }
  return false;
}

void Gateway::RespondFleetUnknown(ExchangeId exchange,
                                  const CallerIdentity& caller) {
  SendToCaller(ToCommand(exchange, {.status = 503,
                                    .code = "fleet_unknown",
                                    .message = "this gateway has just started",
                                    .request_id = caller.request_id,
                                    .execution = ExecutionStatus::kNotExecuted,
                                    .retry_after = kUnknownFleetRetry}));
}

void Gateway::OnJobCall(const http::RequestEvent& request) {
  auto call = DecodeJobCall(request.body);
  if (!call) {
    LogWarning("job_call_invalid", {{"bytes", request.body.size()}});
    return record_push_.Execute(
        http::RespondCommand{.exchange = request.exchange, .status = 400});
  }
  CheckForPause();
  call->request.exchange = request.exchange;
  call->request.received_at = request.received_at;
  admission_.OnForwarded(std::move(call->request), call->caller);
}

std::optional<PeerState> Gateway::BuildSummary(TimePoint now) {
  if (!fleet_.divided()) return std::nullopt;
  if (follower_.IsReader()) peers_.AdvertiseToOtherCells(OwnState());
  const bool rates = workspaces_.has_rate_limits();
  PeerState state = OwnState();
  state.crashes = crash_tracker_.OwnCounts();
  state.crashing_parts = crashing_parts_.Report(now);
  state.server_ends = crashing_parts_.ReportEnds();
  const bool crashes = !state.crashes.empty() ||
                       !state.crashing_parts.empty() ||
                       !state.server_ends.empty();
  if (!rates && !crashes) return std::nullopt;
  if (!rates && now < summary_sent_at_ + kSummaryPause) return std::nullopt;
  summary_sent_at_ = now;
  if (rates) state.rate = rate_quota_.FullReport(now);
  return state;
}

void Gateway::OnPeerSummary(const PeerState& state) {
  follower_.OnPeerState(state, MonotonicNow());
  crash_tracker_.SetPeerCounts(state.gateway, state.crashes);
  crashing_parts_.MergeEnds(state.server_ends);
  for (const auto& report : state.crashing_parts)
    crashing_parts_.Merge(report, MonotonicNow());
  if (!workspaces_.has_rate_limits()) return;
  rate_quota_.OnReport(Hash64(state.gateway), state.start, state.rate, false,
                       MonotonicNow());
  if (state.draining) rate_quota_.RemovePeer(Hash64(state.gateway));
}

}  // namespace knapweedstile::gateway
