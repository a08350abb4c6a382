#include "workspaces/rate_quota.h"

#include <algorithm>
#include <limits>

namespace knapweedstile::workspaces {
namespace {

constexpr std::chrono::seconds kSecond{1};
// Interval of the peers' full reports.
constexpr std::chrono::milliseconds kReportInterval{250};
constexpr std::chrono::milliseconds kReportTimeout{400};
// No share of a limit is kept for a peer that is unreachable for longer.
constexpr std::chrono::seconds kPeerRemovalTimeout{30};

// Fractions of the allowed overage. Each raises a bound of its own in Decide().
// Always applies: counts arrive late and are rounded up.
constexpr double kCountingOverageShare = 0.2;
// Applies while not all gateways are reachable or known. This and the fraction
// above leave the rest of the overage for requests that are admitted before a
// partition is detected.
constexpr double kPartitionOverageShare = 0.4;
// Applies while counts of the last window are missing after a start. It is not
// added to the fraction for a partition: the lower of the two bounds applies.
// The rest of the overage is for requests that no report lists: admitted before
// the restart, or since it by gateways whose next report is still due.
constexpr double kStartupOverageShare = 0.25;

// How much of an unreachable peer's share of the limit follows its demand; the
// rest is the same for each gateway.
constexpr double kDemandWeight = 0.5;
// The most by which a workspace's count may grow between two reports.
constexpr double kMaxGrowthFactor = 4;
// Used until a peer has reported the size of the fleet.
constexpr double kAssumedFleetSize = 64;

constexpr double kUnbounded = std::numeric_limits<double>::infinity();

constexpr std::chrono::seconds kMaxRetryAfter{30};
constexpr std::chrono::milliseconds kShortRetryAfter{300};
// A report must fit in one datagram.
constexpr size_t kMaxReportedWorkspaces = 4000;

}  // namespace

RateQuota::RateQuota(const RateQuotaSettings& settings, GatewayHash own_gateway,
                     uint64_t seed, TimePoint started_at)
    : settings_(settings),
      own_gateway_(own_gateway),
      started_at_(started_at),
      rng_(seed) {}

double RateQuota::WindowLimit(const RateLimit& limit) const noexcept {
  return limit.MaxRequestsIn(ToSeconds(settings_.window));
}

double RateQuota::Overage(double share, double limit) const noexcept {
  return share * (settings_.overage_share * limit + settings_.slack_requests);
}

// A count is kept in full until all its requests have left the window: reports
// do not say when within the window they were admitted.
uint32_t RateQuota::CountStillInWindow(uint32_t count, TimePoint reported_at,
                                       TimePoint now) const {
  return now - reported_at < settings_.window ? count : 0;
}

RateQuota::AdmittedTotals RateQuota::TotalsOf(WorkspaceHash workspace,
                                              TimePoint now) const {
  AdmittedTotals totals;
  const auto add = [&totals](const AdmittedCount& count) {
    totals.all += count.in_window();
    totals.reachable += count.in_window();
    for (size_t span = 0; span < kRateSpans; ++span) {
      totals.reachable_in_spans[span] += count.in_spans[span];
    }
  };
  if (const auto own = own_.find(workspace); own != own_.end()) {
    const AdmittedCount count = CountOf(workspace, own->second, now);
    totals.own = count.in_window();
    totals.by_new_processes = count.in_window();
    add(count);
  }
  for (const auto& [gateway, peer] : peers_) {
    const auto count = peer.counts.find(workspace);
    if (count == peer.counts.end()) continue;
    const uint32_t in_window =
        CountStillInWindow(count->second.in_window(), peer.last_report_at, now);
    if (peer.uptime < settings_.window) totals.by_new_processes += in_window;
    if (peer.unreachable) {
      totals.all += in_window;
      continue;
    }
    add(count->second);
  }
  const auto first = previous_counts_.lower_bound({workspace, 0});
  for (auto at = first;
       at != previous_counts_.end() && at->first.first == workspace; ++at) {
    const uint32_t remaining =
        CountStillInWindow(at->second.count, at->second.counted_at, now);
    totals.all += remaining;
    if (IsReachable(at->first.second)) totals.reachable += remaining;
  }
  return totals;
}

bool RateQuota::IsReachable(GatewayHash gateway) const {
  if (gateway == own_gateway_) return true;
  const auto peer = peers_.find(gateway);
  return peer != peers_.end() && !peer->second.unreachable;
}

// Guards against a second burst after a restart of all gateways: they are
// killed while a workspace is at its limit, restart within a second and have no
// counts of what was admitted before. The time before the start of the oldest
// reachable process is assumed to be as full as the limit allows, so that only
// as much is admitted as has left the window since that start. Two report
// intervals are not counted as time since the start, because what peers
// admitted in the last interval before the restart was not reported, and what
// they admit in the current one is not reported yet.
double RateQuota::MaxSinceStart(const RateLimit& limit, TimePoint now) const {
  Duration covered = now - started_at_;
  for (const auto& [gateway, peer] : peers_) {
    if (!peer.full_report_received || peer.unreachable) continue;
    covered = std::max(covered, peer.uptime + (now - peer.last_report_at));
  }
  if (covered >= settings_.window) return kUnbounded;
  const Duration reported =
      std::max<Duration>(covered - 2 * kReportInterval, {});
  return limit.per_second * ToSeconds(reported) +
         Overage(kStartupOverageShare, WindowLimit(limit));
}

double RateQuota::ReachableShare(WorkspaceHash workspace) const {
  if (!members_known_) {
    // The list of gateways may be read only seconds after the start, on a small
    // VM. Until then the fleet size that peers report is used.
    const auto reachable =
        static_cast<double>(fleet_size() - unreachable_peer_count_);
    const double all =
        advertised_fleet_size_ > 0 ? advertised_fleet_size_ : kAssumedFleetSize;
    return std::min(1.0, reachable / all);
  }
  if (unreachable_peer_count_ == 0) return 1;
  const double equal_share = 1.0 / static_cast<double>(fleet_size());
  double unreachable_share = 0;
  for (const auto& [gateway, peer] : peers_) {
    if (!peer.unreachable) continue;
    const auto share = peer.demand_share.find(workspace);
    const double assumed = peer.was_reachable ? 0 : equal_share;
    const double demand =
        share == peer.demand_share.end() ? assumed : share->second;
    unreachable_share +=
        kDemandWeight * demand + (1 - kDemandWeight) * equal_share;
  }
  return std::max(0.0, 1 - unreachable_share);
}

// Limits each span, not only the whole window. Guards against a workspace that
// was idle and uses the whole window's limit within its first seconds: if all
// gateways then restarted and lost their counts, what they admit after the
// restart would fall into the same window and exceed the limit. With each span
// limited, the requests before and after the restart fit the window together.
bool RateQuota::FitsAllSpans(const RateLimit& limit, double share,
                             const AdmittedTotals& totals) const {
  const double counting_overage =
      Overage(kCountingOverageShare, WindowLimit(limit));
  for (size_t span = 0; span < kRateSpans; ++span) {
    const double span_limit = limit.MaxRequestsIn(ToSeconds(SpanLength(span)));
    const double max_requests = share * (span_limit + counting_overage);
    if (totals.reachable_in_spans[span] + 1 > std::max(1.0, max_requests))
      return false;
  }
  return true;
}

RateVerdict RateQuota::Decide(WorkspaceHash workspace, const RateLimit& limit,
                              const AdmittedTotals& totals,
                              TimePoint now) const {
  const double window_limit = WindowLimit(limit);
  // One request is always admitted: the first caller after a start is not
  // rejected because of what peers may have admitted.
  const auto fits = [](double count, double max_requests) {
    return count + 1 <= std::max(1.0, max_requests);
  };
  const double counting_overage = Overage(kCountingOverageShare, window_limit);
  if (!fits(totals.all, window_limit + counting_overage))
    return RateVerdict::kOverRate;
  if (!FitsAllSpans(limit, 1, totals)) return RateVerdict::kOverRate;
  const double max_since_start = MaxSinceStart(limit, now);
  if (!fits(totals.by_new_processes, max_since_start))
    return RateVerdict::kStarting;
  const double share = ReachableShare(workspace);
  const double available =
      std::min(max_since_start,
               window_limit + Overage(kPartitionOverageShare, window_limit));
  const bool fits_share = fits(totals.reachable, share * available) &&
                          FitsAllSpans(limit, share, totals);
  if (share < 1 && !fits_share) return RateVerdict::kPartitioned;
  return RateVerdict::kAdmitted;
}

// Spreads the retries of rejected callers in time, at the rate at which this
// gateway's share of the limit can admit them.
Duration RateQuota::RetryAfter(OwnCounts& own, const RateLimit& limit,
                               const AdmittedTotals& totals,
                               RateVerdict verdict, TimePoint now) {
  if (verdict != RateVerdict::kOverRate) {
    return kShortRetryAfter +
           FromSeconds(ToSeconds(kShortRetryAfter) * UniformUnit(rng_));
  }
  const double demand = totals.all > 0 ? totals.own / totals.all : 0;
  const double share =
      std::max(demand, 1.0 / static_cast<double>(fleet_size()));
  const Duration step = FromSeconds(1 / (limit.per_second * share));
  const TimePoint from = std::max(own.last_retry_at, now);
  own.last_retry_at = std::min(from + step, now + kMaxRetryAfter);
  const Duration spread = FromSeconds(ToSeconds(step) * UniformUnit(rng_));
  return std::min<Duration>(from + spread - now, kMaxRetryAfter) +
         FromSeconds(1 / limit.per_second);
}

RateDecision RateQuota::Admit(WorkspaceHash workspace, const RateLimit& limit,
                              TimePoint now) {
  if (!limit.limited()) return {};
  const AdmittedTotals totals = TotalsOf(workspace, now);
  RateDecision decision{.verdict = Decide(workspace, limit, totals, now),
                        .limit = WindowLimit(limit),
                        .total_admitted = totals.all,
                        .own_admitted = totals.own,
                        .unreachable_gateways = unreachable_peer_count_};
  OwnCounts& own = own_.try_emplace(workspace, settings_.window).first->second;
  own.used_at = now;
  if (decision.verdict == RateVerdict::kAdmitted) {
    own.admitted.Add(now);
    if (!std::exchange(own.changed, true)) changed_.push_back(workspace);
    return decision;
  }
  own.rejected.Add(now);
  for (const auto& [gateway, peer] : peers_) {
    if (peer.unreachable) continue;
    decision.oldest_report_age =
        std::max(decision.oldest_report_age, now - peer.last_report_at);
  }
  decision.retry_after = RetryAfter(own, limit, totals, decision.verdict, now);
  return decision;
}

void RateQuota::Refund(WorkspaceHash workspace, TimePoint admitted_at,
                       TimePoint now) {
  const auto own = own_.find(workspace);
  if (own == own_.end()) return;
  own->second.admitted.Remove(admitted_at, now);
}

void RateQuota::SetMembers(const std::vector<GatewayHash>& others,
                           TimePoint now) {
  members_known_ = true;
  for (const GatewayHash gateway : others) {
    if (removed_peers_.contains(gateway)) continue;
    const auto [peer, is_new] = peers_.try_emplace(gateway);
    if (!is_new) continue;
    peer->second.unreachable_since = now;
    ++unreachable_peer_count_;
  }
}

void RateQuota::KeepPreviousCounts(GatewayHash gateway, const Peer& peer) {
  for (const auto& [workspace, count] : peer.counts) {
    PreviousCount& previous = previous_counts_[{workspace, gateway}];
    previous = {count.in_window(), peer.last_report_at, true};
  }
}

void RateQuota::OnReport(GatewayHash gateway, uint64_t start,
                         const RateReport& report, bool incremental,
                         TimePoint now) {
  if (gateway == own_gateway_) return;
  removed_peers_.erase(gateway);
  const auto [found, is_new] = peers_.try_emplace(gateway);
  Peer& peer = found->second;
  if (is_new) {
    peer.unreachable_since = now;
    ++unreachable_peer_count_;
  }
  if (start != peer.start) {
    KeepPreviousCounts(gateway, peer);
    peer.start = start;
    peer.full_report_received = false;
    peer.counts.clear();
  }
  peer.last_report_at = now;
  peer.uptime = report.uptime;
  advertised_fleet_size_ = std::max(advertised_fleet_size_, report.fleet_size);
  if (!incremental) {
    peer.counts.clear();
    peer.full_report_received = true;
    peer.receives_our_reports =
        std::find(report.unreachable.begin(), report.unreachable.end(),
                  own_gateway_) == report.unreachable.end();
  }
  for (const AdmittedCount& count : report.admitted) {
    peer.counts[count.workspace] = count;
  }
  for (const PreviousProcessCount& reported : report.previous_processes) {
    PreviousCount& previous =
        previous_counts_[{reported.workspace, reported.gateway}];
    const uint32_t recorded =
        CountStillInWindow(previous.count, previous.counted_at, now);
    if (recorded < reported.in_window)
      previous = {reported.in_window, now, false};
  }
}

void RateQuota::RemovePeer(GatewayHash gateway) {
  removed_peers_.insert(gateway);
  const auto peer = peers_.find(gateway);
  if (peer == peers_.end()) return;
  KeepPreviousCounts(gateway, peer->second);
  if (peer->second.unreachable) --unreachable_peer_count_;
  peers_.erase(peer);
}

// After a pause of seconds the counts of peers are out of date. Guards against
// a process that would admit requests for quota that peers used during the
// pause.
void RateQuota::OnPaused() {
  for (auto& [gateway, peer] : peers_) peer.full_report_received = false;
}

// The factor by which the own count has grown since `since`.
double RateQuota::OwnGrowth(WorkspaceHash workspace, TimePoint since,
                            TimePoint now) const {
  const auto own = own_.find(workspace);
  if (own == own_.end()) return 1;
  const SlidingWindowCounter& window = own->second.admitted;
  const double count = window.CountIn(settings_.window, now);
  const double before = count - window.CountIn(now - since, now);
  return std::clamp(count / std::max(1.0, before), 1.0, kMaxGrowthFactor);
}

void RateQuota::MarkUnreachable(GatewayHash gateway, Peer& peer,
                                TimePoint now) {
  struct Demand {
    double reported = 0;
    double estimated = 0;  // including requests since the last report
  };
  std::unordered_map<WorkspaceHash, Demand> demands;
  for (const auto& [workspace, count] : peer.counts) {
    // The peer's count is assumed to have grown by the same factor as the own
    // count. The peer assumes the same of this gateway.
    const double reported = count.in_window();
    demands[workspace] = {
        reported, reported * OwnGrowth(workspace, peer.last_report_at, now)};
  }
  // What previous processes of the peer admitted is its demand as well. All
  // gateways that have these counts credit them to the same gateway, so that
  // the shares of all groups add up to one.
  for (const auto& [key, previous] : previous_counts_) {
    if (key.second != gateway) continue;
    const uint32_t remaining =
        CountStillInWindow(previous.count, previous.counted_at, now);
    Demand& demand = demands[key.first];
    demand.reported += remaining;
    demand.estimated += remaining;
  }
  for (const auto& [workspace, demand] : demands) {
    if (demand.estimated <= 0) continue;
    const double others = TotalsOf(workspace, now).all - demand.reported;
    peer.demand_share[workspace] =
        demand.estimated / (others + demand.estimated);
  }
  peer.unreachable = true;
  ++unreachable_peer_count_;
}

void RateQuota::Expire(TimePoint now) {
  for (auto& [gateway, peer] : peers_) {
    const bool unreachable = !peer.full_report_received ||
                             !peer.receives_our_reports ||
                             now - peer.last_report_at > kReportTimeout;
    if (unreachable == peer.unreachable) continue;
    if (unreachable) {
      MarkUnreachable(gateway, peer, now);
    } else {
      peer.unreachable = false;
      peer.was_reachable = true;
      peer.demand_share.clear();
      --unreachable_peer_count_;
    }
  }
  std::erase_if(peers_, [&](const auto& element) {
    const Peer& peer = element.second;
    if (!peer.unreachable || now - peer.unreachable_since < kPeerRemovalTimeout)
      return false;
    --unreachable_peer_count_;
    removed_peers_.insert(element.first);
    return true;
  });
  std::erase_if(previous_counts_, [this, now](const auto& element) {
    return now - element.second.counted_at >= settings_.window;
  });
  std::erase_if(own_, [this, now](const auto& element) {
    return now - element.second.used_at >= settings_.window + kSecond &&
           element.second.last_retry_at <= now && !element.second.changed;
  });
}

AdmittedCount RateQuota::CountOf(WorkspaceHash workspace, const OwnCounts& own,
                                 TimePoint now) const {
  AdmittedCount count{.workspace = workspace};
  for (size_t span = 0; span < kRateSpans; ++span) {
    count.in_spans[span] = own.admitted.CountIn(SpanLength(span), now);
  }
  return count;
}

RateReport RateQuota::TakeIncrementalReport(TimePoint now) {
  RateReport report{.uptime = now - started_at_};
  for (const WorkspaceHash workspace : std::exchange(changed_, {})) {
    const auto own = own_.find(workspace);
    if (own == own_.end()) continue;
    own->second.changed = false;
    report.admitted.push_back(CountOf(workspace, own->second, now));
  }
  return report;
}

RateReport RateQuota::FullReport(TimePoint now) const {
  RateReport report{.uptime = now - started_at_};
  if (members_known_) report.fleet_size = static_cast<uint32_t>(fleet_size());
  for (const auto& [workspace, own] : own_) {
    const AdmittedCount count = CountOf(workspace, own, now);
    if (count.in_window() > 0) report.admitted.push_back(count);
  }
  if (report.admitted.size() > kMaxReportedWorkspaces) {
    const auto end = report.admitted.begin() + kMaxReportedWorkspaces;
    std::nth_element(report.admitted.begin(), end, report.admitted.end(),
                     [](const AdmittedCount& a, const AdmittedCount& b) {
                       return a.in_window() > b.in_window();
                     });
    report.admitted.resize(kMaxReportedWorkspaces);
  }
  for (const auto& [key, previous] : previous_counts_) {
    if (!previous.received_directly) continue;
    const uint32_t remaining =
        CountStillInWindow(previous.count, previous.counted_at, now);
    if (remaining > 0)
      report.previous_processes.push_back({key.second, key.first, remaining});
  }
  for (const auto& [gateway, peer] : peers_) {
    const bool unreachable = !peer.full_report_received ||
                             now - peer.last_report_at > kReportTimeout;
    if (unreachable) report.unreachable.push_back(gateway);
  }
  return report;
}

uint32_t RateQuota::OwnCount(WorkspaceHash workspace, TimePoint now) const {
  const auto own = own_.find(workspace);
  return own == own_.end()
             ? 0
             : own->second.admitted.CountIn(settings_.window, now);
}

uint32_t RateQuota::OwnRejected(WorkspaceHash workspace, TimePoint now) const {
  const auto own = own_.find(workspace);
  return own == own_.end() ? 0 : own->second.rejected.CountIn(window(), now);
}

double RateQuota::TotalCount(WorkspaceHash workspace, TimePoint now) const {
  return TotalsOf(workspace, now).all;
}

}  // namespace knapweedstile::workspaces
