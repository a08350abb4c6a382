#include <algorithm>
#include <utility>

#include "serving/server_pace.h"

// Which backend servers are avoided, and how they return.
namespace knapweedstile::serving {
namespace {

constexpr uint32_t kFailuresInRow = 3;
constexpr std::chrono::seconds kRowLifetime{3};
// Share of failures beyond the median server's at which a server is avoided.
constexpr double kAvoidedFailureShare = 0.12;
// Fewer attempts or failures are chance, or a moment's stall.
constexpr double kMinKnownAttempts = 7.5;
constexpr double kMinKnownFailures = 1.8;

// Time for which a server is avoided, doubled with each relapse.
constexpr std::chrono::milliseconds kMinAvoidance{500};
constexpr uint32_t kMaxDoublings = 5;
// A server that fails a share of its requests all the time is avoided for as
// long as after this many relapses: each probation of it costs a request.
constexpr uint32_t kRelapsesOfFailingShare = 4;
// A server that was trusted again for this long starts anew.
constexpr std::chrono::seconds kRelapseMemory{20};
constexpr uint32_t kSuccessesToRestore = 6;
// A server that has just been restored is not avoided for what peers saw of it
// before.
constexpr std::chrono::seconds kRestoredGrace{5};

constexpr size_t kMaxAvoidedDivisor = 4;
constexpr size_t kAllFailDivisor = 2;

}  // namespace

void ServerPace::OnServed(ServerProcessId process, TimePoint now) {
  const auto found = servers_.find(process);
  if (found == servers_.end()) return;
  Server& server = found->second;
  Decay(server, now);
  server.attempts += 1;
  server.failures_in_row = 0;
  if (server.standing != ServerStanding::kOnProbation) return;
  if (++server.successes < kSuccessesToRestore) return;
  server.restored_at = now;
  SetStanding(process, server, ServerStanding::kTrusted);
}

void ServerPace::OnFailed(ServerProcessId process, TimePoint now) {
  const auto found = servers_.find(process);
  if (found == servers_.end()) return;
  Server& server = found->second;
  Decay(server, now);
  server.attempts += 1;
  server.failures += 1;
  if (now - server.failed_at > kRowLifetime) server.failures_in_row = 0;
  ++server.failures_in_row;
  server.failed_at = now;
  const bool relapses = server.standing == ServerStanding::kOnProbation;
  if (relapses || FailsOften(server) ||
      server.failures_in_row >= kFailuresInRow)
    Avoid(process, server, now);
}

bool ServerPace::FailsOften(const Server& server) {
  return server.failure_share >= kAvoidedFailureShare &&
         server.known_attempts >= kMinKnownAttempts &&
         server.known_failures >= kMinKnownFailures;
}

bool ServerPace::IsFailing(const Server& server, TimePoint now) {
  if (server.standing != ServerStanding::kTrusted) return true;
  return server.failures_in_row >= kFailuresInRow &&
         now - server.failed_at <= kRowLifetime;
}

bool ServerPace::MayAvoidOneMore(std::string_view service,
                                 TimePoint now) const {
  size_t all = 0;
  size_t avoided = 0;
  size_t failing = 0;
  for (const auto& [process, server] : servers_) {
    if (server.service != service) continue;
    ++all;
    if (server.standing != ServerStanding::kTrusted) ++avoided;
    if (IsFailing(server, now)) ++failing;
  }
  return avoided < all / kMaxAvoidedDivisor && failing <= all / kAllFailDivisor;
}

void ServerPace::Avoid(ServerProcessId process, Server& server, TimePoint now) {
  if (server.standing == ServerStanding::kAvoided) return;
  const bool returns = server.standing == ServerStanding::kOnProbation;
  if (!returns && !MayAvoidOneMore(server.service, now)) return;
  if (!returns && now - server.restored_at > kRelapseMemory)
    server.relapses = 0;
  if (FailsOften(server))
    server.relapses = std::max(server.relapses, kRelapsesOfFailingShare);
  server.avoided_until =
      now + kMinAvoidance * (1U << std::min(server.relapses, kMaxDoublings));
  ++server.relapses;
  SetStanding(process, server, ServerStanding::kAvoided);
}

void ServerPace::SetStanding(ServerProcessId process, Server& server,
                             ServerStanding standing) {
  server.standing = standing;
  server.successes = 0;
  changes_.push_back({.process = process,
                      .standing = standing,
                      .failure_share = server.failure_share});
  if (standing != ServerStanding::kTrusted) differing_.insert(process);
}

void ServerPace::UpdateStandings(const std::vector<ServerProcessId>& group,
                                 TimePoint now) {
  size_t failing = 0;
  for (const ServerProcessId process : group) {
    if (IsFailing(servers_[process], now)) ++failing;
  }
  const bool all_fail = failing > group.size() / kAllFailDivisor;
  for (const ServerProcessId process : group) {
    Server& server = servers_[process];
    if (server.standing == ServerStanding::kTrusted) {
      const bool judged =
          FailsOften(server) && now - server.restored_at > kRestoredGrace;
      if (judged && !all_fail) Avoid(process, server, now);
    } else if (all_fail) {
      server.restored_at = now;
      SetStanding(process, server, ServerStanding::kTrusted);
    } else if (server.standing == ServerStanding::kAvoided &&
               server.avoided_until <= now) {
      SetStanding(process, server, ServerStanding::kOnProbation);
    }
  }
}

std::vector<StandingChange> ServerPace::TakeChanges() {
  return std::exchange(changes_, {});
}

ServerStanding ServerPace::StandingOf(ServerProcessId process) const {
  const auto found = servers_.find(process);
  return found == servers_.end() ? ServerStanding::kTrusted
                                 : found->second.standing;
}

size_t ServerPace::CountAvoided() const {
  return static_cast<size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& s) {
        return s.second.standing == ServerStanding::kAvoided;
      }));
}

}  // namespace knapweedstile::serving
