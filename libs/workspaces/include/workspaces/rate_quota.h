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
#include "workspaces/rate_decision.h"
#include "workspaces/rate_limit.h"
#include "workspaces/rate_quota_settings.h"
#include "workspaces/rate_report.h"
#include "workspaces/sliding_window_counter.h"

namespace knapweedstile::workspaces {

// Decides whether a request fits the rate limit of its workspace, which applies
// to the sum over all gateways. Pure logic: no I/O, no clock, no threads; the
// caller passes the reports of peers and the time.
//
// Designed for a workspace that sends a multiple of its usual traffic, to one
// gateway or to all, while gateways are partitioned from each other, paused,
// killed together or just started. Each gateway reports to its peers what it
// has admitted in the last seconds, and admits what fits by its own count and
// those it has received. A workspace whose callers reach a single gateway can
// use the whole rate there at once.
//
// A gateway may use quota that peers have already used but not yet reported to
// it. The number of such requests is bounded, so that the total stays within
// the limit plus the overage that the settings allow:
//
// - Both sides detect a partition within half a second, because a report lists
//   the peers that its sender gets no reports from. What is admitted until then
//   is bounded by what a workspace may send in one second.
// - During a partition, a group of gateways that reach each other has the share
//   of the limit that it had before: half of it by demand, half by the number
//   of gateways. The shares of all groups add up to the limit.
// - A gateway that starts has no counts of the last seconds. Peers report to it
//   what its previous process had admitted. If all gateways have just started,
//   no counts exist, and the limit starts at a part of the overage and grows
//   with the time since the start.
class RateQuota {
 public:
  RateQuota(const RateQuotaSettings& settings, GatewayHash own_gateway,
            uint64_t seed, TimePoint started_at);

  // Commands.
  // Decides on a request and counts it if it is admitted.
  RateDecision Admit(WorkspaceHash workspace, const RateLimit& limit,
                     TimePoint now);
  // Returns to the quota a request that was admitted at `admitted_at`, was not
  // executed and will not be.
  void Refund(WorkspaceHash workspace, TimePoint admitted_at, TimePoint now);
  // Sets all other gateways of the fleet, reachable or not.
  void SetMembers(const std::vector<GatewayHash>& others, TimePoint now);
  // Takes in a report of `gateway`. `start` is the start time of its process,
  // which identifies it among the processes of the same gateway. A report that
  // is `incremental` holds only what has changed.
  void OnReport(GatewayHash gateway, uint64_t start, const RateReport& report,
                bool incremental, TimePoint now);
  // Removes a gateway that has stopped as planned. No share of the limit is
  // kept for it.
  void RemovePeer(GatewayHash gateway);
  // This process was paused: the peers' reports are stale until the next full
  // report of each.
  void OnPaused();
  // Marks peers without recent reports as unreachable and drops expired counts.
  void Expire(TimePoint now);
  // Returns the counts that have changed since the last call.
  RateReport TakeIncrementalReport(TimePoint now);

  // Queries.
  RateReport FullReport(TimePoint now) const;
  uint32_t OwnCount(WorkspaceHash workspace, TimePoint now) const;
  double TotalCount(WorkspaceHash workspace, TimePoint now) const;
  uint32_t OwnRejected(WorkspaceHash workspace, TimePoint now) const;
  Duration window() const noexcept { return settings_.window; }

 private:
  struct OwnCounts {
    explicit OwnCounts(Duration longest)
        : admitted(longest), rejected(longest) {}

    SlidingWindowCounter admitted;
    SlidingWindowCounter rejected;
    TimePoint used_at{};
    TimePoint last_retry_at{};  // latest retry time given to a rejected request
    bool changed = false;       // since the last report
  };
  struct Peer {
    uint64_t start = 0;  // of its process; zero: no report received yet
    bool full_report_received = false;  // from this process
    bool receives_our_reports = false;
    bool unreachable = true;
    bool was_reachable = false;  // at any time; its demand is unknown before
    TimePoint unreachable_since{};
    TimePoint last_report_at{};
    Duration uptime{};  // at `last_report_at`
    std::unordered_map<WorkspaceHash, AdmittedCount> counts;
    // Its share of each workspace's demand when it became unreachable.
    std::unordered_map<WorkspaceHash, double> demand_share;
  };
  // What a process of a gateway had admitted by its last report. The process
  // has been restarted or removed since.
  struct PreviousCount {
    uint32_t count = 0;
    TimePoint counted_at{};
    bool received_directly = false;  // from the process, not from another peer
  };
  struct AdmittedTotals {
    double all = 0;
    // By this gateway and the peers that exchange reports with it, including
    // their previous processes.
    double reachable = 0;
    // By processes that started within the window, own included.
    double by_new_processes = 0;
    // By this gateway and the same peers in each span. Spans end now and are
    // 1/n, 2/n, ... n/n of the window, with n = kRateSpans.
    std::array<double, kRateSpans> reachable_in_spans{};
    uint32_t own = 0;
  };

  AdmittedTotals TotalsOf(WorkspaceHash workspace, TimePoint now) const;
  bool IsReachable(GatewayHash gateway) const;
  // The most requests that may be admitted while counts of the last seconds are
  // missing after a start.
  double MaxSinceStart(const RateLimit& limit, TimePoint now) const;
  // The share of the limit of the gateways that reach each other.
  double ReachableShare(WorkspaceHash workspace) const;
  RateVerdict Decide(WorkspaceHash workspace, const RateLimit& limit,
                     const AdmittedTotals& totals, TimePoint now) const;
  Duration RetryAfter(OwnCounts& own, const RateLimit& limit,
                      const AdmittedTotals& totals, RateVerdict verdict,
                      TimePoint now);
  void KeepPreviousCounts(GatewayHash gateway, const Peer& peer);
  double OwnGrowth(WorkspaceHash workspace, TimePoint since,
                   TimePoint now) const;
  void MarkUnreachable(GatewayHash gateway, Peer& peer, TimePoint now);
  AdmittedCount CountOf(WorkspaceHash workspace, const OwnCounts& own,
                        TimePoint now) const;
  size_t fleet_size() const noexcept { return peers_.size() + 1; }

  Duration SpanLength(size_t index) const noexcept {
    return settings_.window * static_cast<int64_t>(index + 1) / kRateSpans;
  }
  // Whether one more request fits a share of the limit in each span of the
  // window.
  bool FitsAllSpans(const RateLimit& limit, double share,
                    const AdmittedTotals& totals) const;
  // The most requests of a workspace in the window, without overage.
  double WindowLimit(const RateLimit& limit) const noexcept;
  // A share of the requests that may be admitted beyond the limit.
  double Overage(double share, double limit) const noexcept;
  // How much of a count that was reported at `reported_at` may still be in the
  // window.
  uint32_t CountStillInWindow(uint32_t count, TimePoint reported_at,
                              TimePoint now) const;

  RateQuotaSettings settings_;
  GatewayHash own_gateway_;
  TimePoint started_at_;
  Rng rng_;
  bool members_known_ = false;
  uint32_t advertised_fleet_size_ = 0;  // the largest that peers reported
  uint32_t unreachable_peer_count_ = 0;
  std::unordered_map<WorkspaceHash, OwnCounts> own_;
  std::vector<WorkspaceHash> changed_;
  std::map<GatewayHash, Peer> peers_;
  // Stopped as planned or unreachable for long, without a report since.
  std::set<GatewayHash> removed_peers_;
  std::map<std::pair<WorkspaceHash, GatewayHash>, PreviousCount>
      previous_counts_;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_H_
