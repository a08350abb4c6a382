#ifndef KNAPWEEDSTILE_WORKSPACES_OTHER_QUOTAS_H_
#define KNAPWEEDSTILE_WORKSPACES_OTHER_QUOTAS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "workspaces/admission_window.h"
#include "workspaces/rate_decision.h"
#include "workspaces/rate_limit.h"
#include "workspaces/rate_quota_settings.h"
#include "workspaces/rate_report.h"

namespace knapweedstile::workspaces {

// Other ways to keep a rate over all entries, to compare RateQuota with. They
// know one workspace.

// Each entry admits what fits by the counts that it has heard, and asks nothing
// about what it has not.
class GossipQuota {
 public:
  GossipQuota(const RateQuotaSettings& settings, GatewayHash /*own*/,
              uint64_t /*seed*/, TimePoint /*started_at*/)
      : settings_(settings), window_(settings.window) {}

  void SetMembers(const std::vector<GatewayHash>& /*others*/,
                  TimePoint /*now*/) {}
  void OnPaused() {}
  void Expire(TimePoint now) {
    std::erase_if(heard_, [&](const auto& peer) {
      return now - peer.second.heard_at > settings_.window;
    });
  }
  RateDecision Admit(WorkspaceHash /*workspace*/, const RateLimit& limit,
                     TimePoint now) {
    double known = window_.CountIn(settings_.window, now);
    double second = window_.CountIn(kSecond, now);
    for (const auto& [entry, peer] : heard_) {
      known += peer.count.in_window();
      second += peer.count.in_spans.front();
    }
    if (known + 1 > limit.MaxRequestsIn(ToSeconds(settings_.window)) ||
        second + 1 > limit.MaxRequestsIn(1)) {
      return {.verdict = RateVerdict::kOverRate};
    }
    window_.Add(now);
    return {};
  }
  void OnReport(GatewayHash entry, uint64_t /*start*/, const RateReport& report,
                bool /*partial*/, TimePoint now) {
    heard_[entry] = {now, report.admitted.empty() ? AdmittedCount{}
                                                  : report.admitted.front()};
  }
  RateReport FullReport(TimePoint now) const {
    AdmittedCount count{.workspace = 7};
    count.in_spans.front() = window_.CountIn(kSecond, now);
    count.in_spans.back() = window_.CountIn(settings_.window, now);
    return {.admitted = {count}};
  }
  RateReport TakeDeltaReport(TimePoint now) const { return FullReport(now); }

 private:
  static constexpr std::chrono::seconds kSecond{1};
  struct Heard {
    TimePoint heard_at{};
    AdmittedCount count;
  };
  RateQuotaSettings settings_;
  AdmissionWindow window_;
  std::map<GatewayHash, Heard> heard_;
};

// One entry, the one of the lowest name among those that are heard, fills a
// bucket and grants what is in it to the others by what they ask for, a quarter
// of a second ahead. A grant ends after half a second; without one an entry has
// its part of the rate.
class LeaseQuota {
 public:
  LeaseQuota(const RateQuotaSettings& /*settings*/, GatewayHash own,
             uint64_t /*seed*/, TimePoint started_at)
      : own_(own), asked_(kSecond), filled_at_(started_at) {}

  void SetMembers(const std::vector<GatewayHash>& others, TimePoint /*now*/) {
    entries_ = static_cast<double>(others.size() + 1);
  }
  void OnPaused() { heard_.clear(); }
  void Expire(TimePoint now) {
    std::erase_if(heard_, [&](const auto& peer) {
      return now - peer.second.heard_at > kGrantEnds;
    });
  }
  RateDecision Admit(WorkspaceHash /*workspace*/, const RateLimit& limit,
                     TimePoint now) {
    limit_ = limit;
    asked_.Add(now);
    if (now >= granted_until_) {
      // Without a grant: the part of the rate, in tokens since the last one.
      tokens_ = std::min(1.0, tokens_ + ToSeconds(now - part_at_) *
                                            limit.per_second / entries_);
      part_at_ = now;
    }
    if (tokens_ < 1) return {.verdict = RateVerdict::kOverRate};
    tokens_ -= 1;
    return {};
  }
  void OnReport(GatewayHash entry, uint64_t /*start*/, const RateReport& report,
                bool partial, TimePoint now) {
    Heard& heard = heard_[entry];
    heard.heard_at = now;
    if (!report.admitted.empty())
      heard.asked = report.admitted.front().in_spans.front();
    if (partial || entry != Grantor()) return;
    for (const PreviousProcessCount& grant : report.previous_processes) {
      if (grant.gateway == own_) Take(grant.in_window, now);
    }
  }
  RateReport FullReport(TimePoint now) {
    RateReport report{.admitted = {AskedAt(now)}};
    if (Grantor() != own_) return report;
    level_ = std::min(limit_.burst + limit_.per_second / 4,
                      level_ + ToSeconds(now - filled_at_) * limit_.per_second);
    filled_at_ = now;
    const double own_asked = asked_.CountIn(kSecond, now);
    double all = own_asked;
    for (const auto& [entry, heard] : heard_) all += heard.asked;
    if (all <= 0) return report;
    const double level = level_;
    for (const auto& [entry, heard] : heard_) {
      const auto grant = static_cast<uint32_t>(level * heard.asked / all);
      if (grant == 0) continue;
      report.previous_processes.push_back({entry, 7, grant});
      level_ -= grant;
    }
    const double own_grant = level * own_asked / all;
    level_ -= own_grant;
    Take(own_grant, now);
    return report;
  }
  RateReport TakeDeltaReport(TimePoint now) const {
    return {.admitted = {AskedAt(now)}};
  }

 private:
  AdmittedCount AskedAt(TimePoint now) const {
    return {.workspace = 7, .in_spans = {asked_.CountIn(kSecond, now)}};
  }
  static constexpr std::chrono::seconds kSecond{1};
  static constexpr std::chrono::milliseconds kGrantEnds{500};
  struct Heard {
    TimePoint heard_at{};
    uint32_t asked = 0;
  };
  GatewayHash Grantor() const {
    return heard_.empty() ? own_ : std::min(own_, heard_.begin()->first);
  }
  void Take(double grant, TimePoint now) {
    tokens_ = grant + (now < granted_until_ ? std::min(tokens_, 1.0) : 0);
    granted_until_ = now + kGrantEnds;
    part_at_ = granted_until_;
  }

  GatewayHash own_;
  AdmissionWindow asked_;
  RateLimit limit_;
  double entries_ = 1;
  double tokens_ = 0;
  TimePoint granted_until_{};
  TimePoint part_at_{};
  double level_ = 0;
  TimePoint filled_at_;
  std::map<GatewayHash, Heard> heard_;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_OTHER_QUOTAS_H_
