#include "workspaces/rate_quota.h"

#include <algorithm>
#include <limits>

namespace knapweedstile::workspaces {
namespace {

constexpr std::chrono::seconds kSecond{1};
// Whole reports come every 250 ms.
constexpr std::chrono::milliseconds kSilence{400};
// An entry that is silent for longer is gone, and nothing is kept for it.
constexpr std::chrono::seconds kGone{30};

// Of the requests that may be admitted beyond a limit, for counts that are told
// late and rounded up, for the groups of a split fleet, and for the first
// seconds of a fleet. The rest is for what is admitted before a cut is known.
constexpr double kCountPart = 0.2;
constexpr double kSplitPart = 0.4;
constexpr double kStartPart = 0.5;

// Of a silent entry's part of the limit, by its demand; the rest by number.
constexpr double kDemandPart = 0.5;
// Between two reports, of the hottest workspace.
constexpr double kMostGrowth = 4;
// As long as nobody has told how many entries there are.
constexpr double kAssumedEntries = 64;
// Of each workspace, in the window, whatever the entry's part: the first
// callers after a start are not turned away for what others may have admitted.
constexpr double kLeastPart = 2;

constexpr double kUnbounded = std::numeric_limits<double>::infinity();

constexpr std::chrono::seconds kLongestReturn{30};
constexpr std::chrono::milliseconds kSoonReturn{300};
// What a datagram holds.
constexpr size_t kMostReported = 4000;

}  // namespace

RateQuota::RateQuota(const RateQuotaSettings& settings, GatewayHash own_entry,
                     uint64_t seed, TimePoint started_at)
    : settings_(settings),
      own_gateway_(own_entry),
      started_at_(started_at),
      rng_(seed) {}

double RateQuota::WindowLimit(const RateLimit& limit) const noexcept {
  return limit.MaxRequestsIn(ToSeconds(settings_.window));
}

double RateQuota::Overage(double part, double limit) const noexcept {
  return part * (settings_.overage_share * limit + settings_.slack_requests);
}

// Old counts are kept whole until the last of them has left the window: when
// within it they were admitted is not told.
uint32_t RateQuota::CountStillInWindow(uint32_t count, TimePoint reported_at,
                                       TimePoint now) const {
  return now - reported_at < settings_.window ? count : 0;
}

RateQuota::AdmittedTotals RateQuota::TotalsOf(WorkspaceHash workspace,
                                              TimePoint now) const {
  AdmittedTotals known;
  const auto add = [&known](const AdmittedCount& count) {
    known.all += count.in_window();
    known.reachable += count.in_window();
    for (size_t span = 0; span < kRateSpans; ++span) {
      known.reachable_in_spans[span] += count.in_spans[span];
    }
  };
  if (const auto own = own_.find(workspace); own != own_.end()) {
    const AdmittedCount count = CountOf(workspace, own->second, now);
    known.own = count.in_window();
    add(count);
  }
  for (const auto& [entry, peer] : peers_) {
    const auto count = peer.counts.find(workspace);
    if (count == peer.counts.end()) continue;
    if (peer.unreachable) {
      known.all += CountStillInWindow(count->second.in_window(),
                                      peer.last_report_at, now);
      continue;
    }
    add(count->second);
  }
  const auto first = previous_counts_.lower_bound({workspace, 0});
  for (auto at = first;
       at != previous_counts_.end() && at->first.first == workspace; ++at) {
    known.all +=
        CountStillInWindow(at->second.count, at->second.counted_at, now);
  }
  return known;
}

// Failure guarded against: all entries are killed while a workspace is at its
// limit, are back within a second and admit the whole burst again. The seconds
// before the oldest process among those heard are known to nobody; they are
// taken for as full as the limit allows, and what is admitted since makes up
// for what has left the window since.
double RateQuota::MaxSinceStart(const RateLimit& limit, TimePoint now) const {
  Duration known_for = now - started_at_;
  for (const auto& [entry, peer] : peers_) {
    if (!peer.full_report_received || peer.unreachable) continue;
    known_for = std::max(known_for, peer.uptime + (now - peer.last_report_at));
  }
  if (known_for >= settings_.window) return kUnbounded;
  return limit.per_second * ToSeconds(known_for) +
         Overage(kStartPart, WindowLimit(limit));
}

double RateQuota::ReachableShare(WorkspaceHash workspace) const {
  if (!members_known_) {
    // The fleet is listed seconds after a start at a small VM; entries that are
    // faster tell how many there are.
    const auto heard = static_cast<double>(fleet_size() - unreachable_count_);
    const double all =
        advertised_fleet_size_ > 0 ? advertised_fleet_size_ : kAssumedEntries;
    return std::min(1.0, heard / all);
  }
  if (unreachable_count_ == 0) return 1;
  const double of_one = 1.0 / static_cast<double>(fleet_size());
  double silent_part = 0;
  for (const auto& [entry, peer] : peers_) {
    if (!peer.unreachable) continue;
    const auto share = peer.demand_share.find(workspace);
    const bool never_heard = peer.start == 0;
    const double unknown = never_heard ? of_one : 0;
    const double demand =
        share == peer.demand_share.end() ? unknown : share->second;
    silent_part += kDemandPart * demand + (1 - kDemandPart) * of_one;
  }
  return std::max(0.0, 1 - silent_part);
}

// Failure guarded against: a workspace that was quiet spends the rate of a
// whole window in its first seconds. If all entries then restart and the rate
// grows anew, both lie in one window. With every span bounded, what was spent
// up to a restart and what grows after it fit one window together.
bool RateQuota::FitsAllSpans(const RateLimit& limit,
                             const AdmittedTotals& known) const {
  const double counting = Overage(kCountPart, WindowLimit(limit));
  for (size_t span = 0; span < kRateSpans; ++span) {
    const double most = limit.MaxRequestsIn(ToSeconds(SpanOf(span))) + counting;
    if (known.reachable_in_spans[span] + 1 > std::max(1.0, most)) return false;
  }
  return true;
}

RateVerdict RateQuota::Decide(WorkspaceHash workspace, const RateLimit& limit,
                              const AdmittedTotals& known,
                              TimePoint now) const {
  const double whole = WindowLimit(limit);
  const auto fits = [](double count, double most) {
    return count + 1 <= std::max(1.0, most);
  };
  const double counting = Overage(kCountPart, whole);
  if (!fits(known.all, whole + counting)) return RateVerdict::kOverRate;
  if (!FitsAllSpans(limit, known)) return RateVerdict::kOverRate;
  const double since_start = MaxSinceStart(limit, now);
  if (!fits(known.all, since_start)) return RateVerdict::kStarting;
  const double part = ReachableShare(workspace);
  const double free = std::min(since_start, whole + Overage(kSplitPart, whole));
  const double most = std::max(kLeastPart, part * free);
  if (part < 1 && !fits(known.reachable, most)) {
    return RateVerdict::kSplit;
  }
  return RateVerdict::kAdmitted;
}

// Those that are refused come back one after the other, as fast as this entry's
// share of the rate admits them, and not as one.
Duration RateQuota::RetryAfter(OwnCounts& own, const RateLimit& limit,
                               const AdmittedTotals& known, RateVerdict verdict,
                               TimePoint now) {
  if (verdict != RateVerdict::kOverRate) {
    return kSoonReturn +
           FromSeconds(ToSeconds(kSoonReturn) * UniformUnit(rng_));
  }
  const double demand = known.all > 0 ? known.own / known.all : 0;
  const double share =
      std::max(demand, 1.0 / static_cast<double>(fleet_size()));
  const Duration step = FromSeconds(1 / (limit.per_second * share));
  const TimePoint from = std::max(own.last_retry_at, now);
  own.last_retry_at = std::min(from + step, now + kLongestReturn);
  const Duration spread = FromSeconds(ToSeconds(step) * UniformUnit(rng_));
  return std::min<Duration>(from + spread - now, kLongestReturn) +
         FromSeconds(1 / limit.per_second);
}

RateDecision RateQuota::Admit(WorkspaceHash workspace, const RateLimit& limit,
                              TimePoint now) {
  if (!limit.limited()) return {};
  const AdmittedTotals known = TotalsOf(workspace, now);
  RateDecision answer{.verdict = Decide(workspace, limit, known, now),
                      .limit = WindowLimit(limit),
                      .total_admitted = known.all,
                      .own_admitted = known.own,
                      .unreachable_gateways = unreachable_count_};
  OwnCounts& own = own_.try_emplace(workspace, settings_.window).first->second;
  own.used_at = now;
  if (answer.verdict == RateVerdict::kAdmitted) {
    own.window.Add(now);
    if (!std::exchange(own.changed, true)) changed_.push_back(workspace);
    return answer;
  }
  own.rejected.Add(now);
  for (const auto& [entry, peer] : peers_) {
    if (peer.unreachable) continue;
    answer.oldest_report_age =
        std::max(answer.oldest_report_age, now - peer.last_report_at);
  }
  answer.retry_after = RetryAfter(own, limit, known, answer.verdict, now);
  return answer;
}

void RateQuota::Refund(WorkspaceHash workspace, TimePoint admitted_at,
                       TimePoint now) {
  const auto own = own_.find(workspace);
  if (own == own_.end()) return;
  own->second.window.Remove(admitted_at, now);
}

void RateQuota::SetMembers(const std::vector<GatewayHash>& others,
                           TimePoint now) {
  members_known_ = true;
  for (const GatewayHash entry : others) {
    if (removed_peers_.contains(entry)) continue;
    const auto [peer, is_new] = peers_.try_emplace(entry);
    if (!is_new) continue;
    peer->second.unreachable_since = now;
    ++unreachable_count_;
  }
}

void RateQuota::KeepPreviousCounts(GatewayHash entry, const Peer& peer) {
  for (const auto& [workspace, count] : peer.counts) {
    PreviousCount& former = previous_counts_[{workspace, entry}];
    former = {count.in_window(), peer.last_report_at, true};
  }
}

void RateQuota::OnReport(GatewayHash entry, uint64_t start,
                         const RateReport& report, bool partial,
                         TimePoint now) {
  if (entry == own_gateway_) return;
  removed_peers_.erase(entry);
  const auto [found, is_new] = peers_.try_emplace(entry);
  Peer& peer = found->second;
  if (is_new) {
    peer.unreachable_since = now;
    ++unreachable_count_;
  }
  if (start != peer.start) {
    KeepPreviousCounts(entry, peer);
    peer.start = start;
    peer.full_report_received = false;
    peer.counts.clear();
  }
  peer.last_report_at = now;
  peer.uptime = report.uptime;
  advertised_fleet_size_ = std::max(advertised_fleet_size_, report.fleet_size);
  if (!partial) {
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
    PreviousCount& former =
        previous_counts_[{reported.workspace, reported.gateway}];
    const uint32_t known =
        CountStillInWindow(former.count, former.counted_at, now);
    if (known < reported.in_window) former = {reported.in_window, now, false};
  }
}

void RateQuota::RemovePeer(GatewayHash entry) {
  removed_peers_.insert(entry);
  const auto peer = peers_.find(entry);
  if (peer == peers_.end()) return;
  KeepPreviousCounts(entry, peer->second);
  if (peer->second.unreachable) --unreachable_count_;
  peers_.erase(peer);
}

// Failure guarded against: a process that stood still for seconds knows only
// what was told before, takes its workspaces' limits for free and admits what
// the others have admitted meanwhile.
void RateQuota::OnPaused() {
  for (auto& [entry, peer] : peers_) peer.full_report_received = false;
}

// By what factor the own count has grown since then.
double RateQuota::OwnGrowth(WorkspaceHash workspace, TimePoint since,
                            TimePoint now) const {
  const auto own = own_.find(workspace);
  if (own == own_.end()) return 1;
  const AdmissionWindow& window = own->second.window;
  const double count = window.CountIn(settings_.window, now);
  const double before = count - window.CountIn(now - since, now);
  return std::clamp(count / std::max(1.0, before), 1.0, kMostGrowth);
}

void RateQuota::MarkUnreachable(Peer& peer, TimePoint now) {
  peer.unreachable_since = now;
  peer.demand_share.clear();
  for (const auto& [workspace, count] : peer.counts) {
    const double all = TotalsOf(workspace, now).all;
    // What it has admitted since it was heard counts here as little as what its
    // side knows of this one: taken to have grown as the own count has.
    const double reported = count.in_window();
    const double grown =
        reported * OwnGrowth(workspace, peer.last_report_at, now);
    if (grown > 0)
      peer.demand_share[workspace] = grown / (all - reported + grown);
  }
  peer.unreachable = true;
  ++unreachable_count_;
}

void RateQuota::Expire(TimePoint now) {
  for (auto& [entry, peer] : peers_) {
    const bool silent = !peer.full_report_received ||
                        !peer.receives_our_reports ||
                        now - peer.last_report_at > kSilence;
    if (silent == peer.unreachable) continue;
    if (silent) {
      MarkUnreachable(peer, now);
    } else {
      peer.unreachable = false;
      peer.demand_share.clear();
      --unreachable_count_;
    }
  }
  std::erase_if(peers_, [&](const auto& entry) {
    const Peer& peer = entry.second;
    if (!peer.unreachable || now - peer.unreachable_since < kGone) return false;
    --unreachable_count_;
    removed_peers_.insert(entry.first);
    return true;
  });
  std::erase_if(previous_counts_, [this, now](const auto& entry) {
    return now - entry.second.counted_at >= settings_.window;
  });
  std::erase_if(own_, [this, now](const auto& entry) {
    return now - entry.second.used_at >= settings_.window + kSecond &&
           entry.second.last_retry_at <= now && !entry.second.changed;
  });
}

AdmittedCount RateQuota::CountOf(WorkspaceHash workspace, const OwnCounts& own,
                                 TimePoint now) const {
  AdmittedCount count{.workspace = workspace};
  for (size_t span = 0; span < kRateSpans; ++span) {
    count.in_spans[span] = own.window.CountIn(SpanOf(span), now);
  }
  return count;
}

RateReport RateQuota::TakeDeltaReport(TimePoint now) {
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
  if (report.admitted.size() > kMostReported) {
    const auto most = report.admitted.begin() + kMostReported;
    std::nth_element(report.admitted.begin(), most, report.admitted.end(),
                     [](const AdmittedCount& a, const AdmittedCount& b) {
                       return a.in_window() > b.in_window();
                     });
    report.admitted.resize(kMostReported);
  }
  for (const auto& [key, former] : previous_counts_) {
    if (!former.received_directly) continue;
    const uint32_t left =
        CountStillInWindow(former.count, former.counted_at, now);
    if (left > 0)
      report.previous_processes.push_back({key.second, key.first, left});
  }
  for (const auto& [entry, peer] : peers_) {
    const bool unreachable =
        !peer.full_report_received || now - peer.last_report_at > kSilence;
    if (unreachable) report.unreachable.push_back(entry);
  }
  return report;
}

uint32_t RateQuota::OwnCount(WorkspaceHash workspace, TimePoint now) const {
  const auto own = own_.find(workspace);
  return own == own_.end() ? 0
                           : own->second.window.CountIn(settings_.window, now);
}

uint32_t RateQuota::OwnRejected(WorkspaceHash workspace, TimePoint now) const {
  const auto own = own_.find(workspace);
  return own == own_.end() ? 0 : own->second.rejected.CountIn(window(), now);
}

double RateQuota::TotalCount(WorkspaceHash workspace, TimePoint now) const {
  return TotalsOf(workspace, now).all;
}

}  // namespace knapweedstile::workspaces
