#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/rng.h"
#include "base/time.h"
#include "workspaces/admission_window.h"
#include "workspaces/rate_decision.h"
#include "workspaces/rate_limit.h"
#include "workspaces/rate_quota_settings.h"
#include "workspaces/rate_report.h"

namespace knapweedstile::workspaces {

// Whether a request fits its workspace's rate, which binds all entries
// together. No network, clock or thread: reports and the time come in.
//
// Load pattern: a workspace that sends many times its usual, at one entry or at
// all, while entries are cut off from each other, stand still, die together or
// have just started. Each entry tells the others what it has admitted in the
// last seconds and admits what fits by all that it knows; a caller that reaches
// one entry only has the whole rate there at once.
//
// What an entry does not know would be admitted twice. It is bounded, so that
// the sum stays within the limit and the overage that the settings allow:
//
// - A cut is known to both sides within half a second: an entry tells whom it
//   does not hear. What is admitted meanwhile is bounded by what a workspace
//   may send in a second.
// - While entries do not hear each other, those that do have the part of the
//   limit that they had before: half by demand, half by their number. The parts
//   of all groups add up to the limit.
// - An entry that starts knows nothing of the last seconds. It learns from the
//   others what its former process had admitted. When all of them have
//   just started, nobody knows, and the limit grows from almost nothing.
class RateQuota {
 public:
  RateQuota(const RateQuotaSettings& settings, GatewayHash own_entry,
            uint64_t seed, TimePoint started_at);

  // Commands.
  // Judges a request and counts it when it is admitted.
  RateDecision Admit(WorkspaceHash workspace, const RateLimit& limit,
                     TimePoint now);
  // A request that was admitted at `admitted_at` has not run and never will.
  void Refund(WorkspaceHash workspace, TimePoint admitted_at, TimePoint now);
  // All other entries of the fleet, heard or not.
  void SetMembers(const std::vector<GatewayHash>& others, TimePoint now);
  // `start` tells processes of an entry apart. `partial`: holds only what has
  // changed.
  void OnReport(GatewayHash entry, uint64_t start, const RateReport& report,
                bool partial, TimePoint now);
  // The entry has stopped as planned; nothing is kept for it.
  void RemovePeer(GatewayHash entry);
  // This process stood still: what others told is old, and is told anew soon.
  void OnPaused();
  // Notices silence and forgets what is too old to count.
  void Expire(TimePoint now);
  // What has changed since anything was told.
  RateReport TakeDeltaReport(TimePoint now);

  // Queries.
  RateReport FullReport(TimePoint now) const;
  uint32_t OwnCount(WorkspaceHash workspace, TimePoint now) const;
  double TotalCount(WorkspaceHash workspace, TimePoint now) const;
  uint32_t OwnRejected(WorkspaceHash workspace, TimePoint now) const;
  Duration window() const noexcept { return settings_.window; }

 private:
  struct OwnCounts {
    explicit OwnCounts(Duration longest) : window(longest), rejected(longest) {}

    AdmissionWindow window;
    AdmissionWindow rejected;
    TimePoint used_at{};
    TimePoint last_retry_at{};  // that a refused request was told
    bool changed = false;       // since it was told
  };
  struct Peer {
    uint64_t start = 0;
    bool full_report_received = false;  // a whole report of this process
    bool receives_our_reports = false;
    bool unreachable = true;
    TimePoint unreachable_since{};
    TimePoint last_report_at{};
    Duration uptime{};  // at `heard_at`
    std::unordered_map<WorkspaceHash, AdmittedCount> counts;
    // Its part of the demand when it fell silent.
    std::unordered_map<WorkspaceHash, double> demand_share;
  };
  struct PreviousCount {
    uint32_t count = 0;
    TimePoint counted_at{};
    bool received_directly = false;  // seen here, not told by another entry
  };
  struct AdmittedTotals {
    double all = 0;
    double reachable = 0;  // own and of entries that hear this one
    // Of those, in each span of the window.
    std::array<double, kRateSpans> reachable_in_spans{};
    uint32_t own = 0;
  };

  AdmittedTotals TotalsOf(WorkspaceHash workspace, TimePoint now) const;
  // The most that may be admitted while the last seconds are not known.
  double MaxSinceStart(const RateLimit& limit, TimePoint now) const;
  // The part of the limit of the entries that hear each other.
  double ReachableShare(WorkspaceHash workspace) const;
  RateVerdict Decide(WorkspaceHash workspace, const RateLimit& limit,
                     const AdmittedTotals& known, TimePoint now) const;
  Duration RetryAfter(OwnCounts& own, const RateLimit& limit,
                      const AdmittedTotals& known, RateVerdict verdict,
                      TimePoint now);
  void KeepPreviousCounts(GatewayHash entry, const Peer& peer);
  double OwnGrowth(WorkspaceHash workspace, TimePoint since,
                   TimePoint now) const;
  void MarkUnreachable(Peer& peer, TimePoint now);
  AdmittedCount CountOf(WorkspaceHash workspace, const OwnCounts& own,
                        TimePoint now) const;
  size_t fleet_size() const noexcept { return peers_.size() + 1; }

  Duration SpanOf(size_t span) const noexcept {
    return settings_.window * static_cast<int64_t>(span + 1) / kRateSpans;
  }
  // Whether one more fits each span of the window.
  bool FitsAllSpans(const RateLimit& limit, const AdmittedTotals& known) const;
  // Most requests of a workspace in the window.
  double WindowLimit(const RateLimit& limit) const noexcept;
  // A part of the requests that may be admitted beyond the limit.
  double Overage(double part, double limit) const noexcept;
  // What of a count that was told at `reported_at` may still lie in the window.
  uint32_t CountStillInWindow(uint32_t count, TimePoint reported_at,
                              TimePoint now) const;

  RateQuotaSettings settings_;
  GatewayHash own_gateway_;
  TimePoint started_at_;
  Rng rng_;
  bool members_known_ = false;
  uint32_t advertised_fleet_size_ = 0;  // that others say there are
  uint32_t unreachable_count_ = 0;      // peers that are silent
  std::unordered_map<WorkspaceHash, OwnCounts> own_;
  std::vector<WorkspaceHash> changed_;
  std::map<GatewayHash, Peer> peers_;
  // Stopped as planned or silent for long, and not heard since.
  std::set<GatewayHash> removed_peers_;
  std::map<std::pair<WorkspaceHash, GatewayHash>, PreviousCount>
      previous_counts_;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_H_
