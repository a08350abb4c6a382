#ifndef KNAPWEEDSTILE_WORKSPACES_OTHER_QUOTAS_H_
#define KNAPWEEDSTILE_WORKSPACES_OTHER_QUOTAS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "workspaces/rate_decision.h"
#include "workspaces/rate_limit.h"
#include "workspaces/rate_quota_settings.h"
#include "workspaces/rate_report.h"
#include "workspaces/sliding_window_counter.h"

namespace knapweedstile::workspaces {

// Alternative ways to enforce a rate limit over all gateways, to compare with
// RateQuota. They support a single workspace.

// Each gateway admits what fits by the counts that it has received, and ignores
// that others may be missing.
class GossipQuota {
 public:
  GossipQuota(const RateQuotaSettings& settings, GatewayHash /*own*/,
              uint64_t /*seed*/, TimePoint /*started_at*/)
      : settings_(settings), window_(settings.window) {}

  void SetMembers(const std::vector<GatewayHash>& /*others*/,
                  TimePoint /*now*/) {}
  void OnPaused() {}
  void Expire(TimePoint now) {
    std::erase_if(peers_, [&](const auto& peer) {
      return now - peer.second.received_at > settings_.window;
    });
  }
  RateDecision Admit(WorkspaceHash /*workspace*/, const RateLimit& limit,
                     TimePoint now) {
    double in_window = window_.CountIn(settings_.window, now);
    double in_second = window_.CountIn(kSecond, now);
    for (const auto& [gateway, peer] : peers_) {
      in_window += peer.count.in_window();
      in_second += peer.count.in_spans.front();
    }
    if (in_window + 1 > limit.MaxRequestsIn(ToSeconds(settings_.window)) ||
        in_second + 1 > limit.MaxRequestsIn(1)) {
      return {.verdict = RateVerdict::kOverRate};
    }
    window_.Add(now);
    return {};
  }
  void OnReport(GatewayHash gateway, uint64_t /*start*/,
                const RateReport& report, bool /*incremental*/, TimePoint now) {
    peers_[gateway] = {now, report.admitted.empty() ? AdmittedCount{}
                                                    : report.admitted.front()};
  }
  RateReport FullReport(TimePoint now) const {
    AdmittedCount count{.workspace = 7};
    count.in_spans.front() = window_.CountIn(kSecond, now);
    count.in_spans.back() = window_.CountIn(settings_.window, now);
    return {.admitted = {count}};
  }
  RateReport TakeIncrementalReport(TimePoint now) const {
    return FullReport(now);
  }

 private:
  static constexpr std::chrono::seconds kSecond{1};
  struct ReportedCount {
    TimePoint received_at{};
    AdmittedCount count;
  };
  RateQuotaSettings settings_;
  SlidingWindowCounter window_;
  std::map<GatewayHash, ReportedCount> peers_;
};

// The gateway with the lowest name among the reachable ones fills a token
// bucket and grants its tokens to the others in proportion to their demand, a
// quarter of a second ahead. A grant expires after half a second; a gateway
// without one has an equal share of the rate.
class LeaseQuota {
 public:
  LeaseQuota(const RateQuotaSettings& /*settings*/, GatewayHash own,
             uint64_t /*seed*/, TimePoint started_at)
      : own_(own), demand_(kSecond), filled_at_(started_at) {}

  void SetMembers(const std::vector<GatewayHash>& others, TimePoint /*now*/) {
    fleet_size_ = static_cast<double>(others.size() + 1);
  }
  void OnPaused() { peers_.clear(); }
  void Expire(TimePoint now) {
    std::erase_if(peers_, [&](const auto& peer) {
      return now - peer.second.received_at > kGrantLifetime;
    });
  }
  RateDecision Admit(WorkspaceHash /*workspace*/, const RateLimit& limit,
                     TimePoint now) {
    limit_ = limit;
    demand_.Add(now);
    if (now >= granted_until_) {
      // Without a grant: an equal share of the rate since the last token.
      tokens_ = std::min(1.0, tokens_ + ToSeconds(now - share_counted_at_) *
                                            limit.per_second / fleet_size_);
      share_counted_at_ = now;
    }
    if (tokens_ < 1) return {.verdict = RateVerdict::kOverRate};
    tokens_ -= 1;
    return {};
  }
  void OnReport(GatewayHash gateway, uint64_t /*start*/,
                const RateReport& report, bool incremental, TimePoint now) {
    ReportedDemand& peer = peers_[gateway];
    peer.received_at = now;
    if (!report.admitted.empty())
      peer.demand = report.admitted.front().in_spans.front();
    if (incremental || gateway != GrantingGateway()) return;
    for (const PreviousProcessCount& grant : report.previous_processes) {
      if (grant.gateway == own_) AcceptGrant(grant.in_window, now);
    }
  }
  RateReport FullReport(TimePoint now) {
    RateReport report{.admitted = {DemandAt(now)}};
    if (GrantingGateway() != own_) return report;
    bucket_tokens_ = std::min(
        limit_.burst + limit_.per_second / 4,
        bucket_tokens_ + ToSeconds(now - filled_at_) * limit_.per_second);
    filled_at_ = now;
    const double own_demand = demand_.CountIn(kSecond, now);
    double all = own_demand;
    for (const auto& [gateway, peer] : peers_) all += peer.demand;
    if (all <= 0) return report;
    const double bucket_tokens = bucket_tokens_;
    for (const auto& [gateway, peer] : peers_) {
      const auto grant =
          static_cast<uint32_t>(bucket_tokens * peer.demand / all);
      if (grant == 0) continue;
      report.previous_processes.push_back({gateway, 7, grant});
      bucket_tokens_ -= grant;
    }
    const double own_grant = bucket_tokens * own_demand / all;
    bucket_tokens_ -= own_grant;
    AcceptGrant(own_grant, now);
    return report;
  }
  RateReport TakeIncrementalReport(TimePoint now) const {
    return {.admitted = {DemandAt(now)}};
  }

 private:
  AdmittedCount DemandAt(TimePoint now) const {
    return {.workspace = 7, .in_spans = {demand_.CountIn(kSecond, now)}};
  }
  static constexpr std::chrono::seconds kSecond{1};
  static constexpr std::chrono::milliseconds kGrantLifetime{500};
  struct ReportedDemand {
    TimePoint received_at{};
    uint32_t demand = 0;
  };
  GatewayHash GrantingGateway() const {
    return peers_.empty() ? own_ : std::min(own_, peers_.begin()->first);
  }
  void AcceptGrant(double grant, TimePoint now) {
    tokens_ = grant + (now < granted_until_ ? std::min(tokens_, 1.0) : 0);
    granted_until_ = now + kGrantLifetime;
    share_counted_at_ = granted_until_;
  }

  GatewayHash own_;
  SlidingWindowCounter demand_;
  RateLimit limit_;
  double fleet_size_ = 1;
  double tokens_ = 0;
  TimePoint granted_until_{};
  TimePoint share_counted_at_{};
  double bucket_tokens_ = 0;
  TimePoint filled_at_;
  std::map<GatewayHash, ReportedDemand> peers_;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_OTHER_QUOTAS_H_
