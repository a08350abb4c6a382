#include "serving/server_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

// Observations and estimates; server_pace_standing.cc has the standings.
namespace knapweedstile::serving {
namespace {

constexpr std::chrono::milliseconds kMinUpdatePeriod{100};
// Bounds the work of updates where a gateway knows thousands of servers.
constexpr std::chrono::milliseconds kUpdatePeriodPerServer{1};

// Weight of one sample in a server's running means, by PaceStep: the events of
// about fifty update periods, or twenty requests.
constexpr std::array<double, 3> kStepWeights = {0.02, 0.05, 0.05};
// Samples after which a mean counts, by PaceStep.
constexpr std::array<uint32_t, 3> kMinSamples = {8, 8, 8};
constexpr double kReferenceWeight = 0.01;
// The most by which one sample may exceed a mean, as a factor.
constexpr double kMaxOutlier = 4.0;
// Servers slow down when they are nearly full, so that times above this load
// are compared with each other only.
constexpr double kHighLoad = 0.75;
// Fewer servers have no meaningful median.
constexpr size_t kMinServers = 3;

// Slowness within this factor is taken as equal.
constexpr double kEqualWithin = 1.15;
constexpr double kMinSlowness = 0.25;
constexpr double kMaxSlowness = 4.0;
constexpr double kSlownessExponent = 2.0;
constexpr double kMinSlownessWeight = 0.1;
constexpr double kMaxSlownessWeight = 2.0;
// Little, since slots are held for longer on slow servers.
constexpr double kMaxSlowPreference = 1.6;

// A difference below this many standard errors is taken as chance.
constexpr double kSignificantErrors = 3.5;
// Variance that a mean of few samples is assumed to have, relative to its
// square, and the number of samples that it counts for.
constexpr double kPriorVariance = 0.0625;
constexpr double kPriorSamples = 10;

// A slow stretch lasts for some hundred milliseconds; two update periods in a
// row show it.
constexpr std::chrono::milliseconds kRecentLifetime{300};
constexpr double kStretchFactor = 1.6;
constexpr double kStretchWeight = 0.3;

constexpr std::chrono::seconds kFailureMemory{30};
// Attempts without failure that every server is assumed to have had.
constexpr double kPriorAttempts = 6;
constexpr double kMinViewAttempts = 0.5;
// A view counts for no more, so that a single one does not hide the others.
constexpr double kMaxViewAttempts = 50;
// Excess of the share of failures over the median server that is ignored.
constexpr double kIgnoredFailureShare = 0.04;
constexpr double kFailureExponent = 8.0;

constexpr double kProbationWeight = 0.5;

constexpr std::chrono::seconds kMinObservationPeriod{1};
// Bounds the bytes of observations, which go to all peers, in large fleets.
constexpr std::chrono::milliseconds kObservationPeriodPerPeer{40};
constexpr int kReportLifetimePeriods = 4;
constexpr size_t kMaxObservations = 24;

size_t ReferenceIndex(const PaceSample& sample) {
  const size_t traffic = sample.traffic == TrafficClass::kOnline ? 0 : 1;
  const size_t load = sample.load > kHighLoad ? 1 : 0;
  return (static_cast<size_t>(sample.step) * 2 + traffic) * 2 + load;
}

// The lower one of an even number: an estimate that makes a server worse needs
// more than half of the views.
double Median(std::vector<double>& values) {
  const auto middle =
      values.begin() + static_cast<ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool IsEqual(double slowness) {
  return slowness <= kEqualWithin && slowness >= 1 / kEqualWithin;
}

// Guards against servers that look different by chance.
double SignificantSlowness(double log_slowness, double error) {
  if (std::abs(log_slowness) < kSignificantErrors * error) return 1;
  return std::clamp(std::exp(log_slowness), kMinSlowness, kMaxSlowness);
}

uint32_t RoundedCount(double count) {
  return static_cast<uint32_t>(std::lround(count));
}

}  // namespace

void ServerPace::Mean::Add(double sample, double weight) {
  ++samples;
  if (samples == 1) {
    value = sample;
    return;
  }
  const double limited =
      std::clamp(sample, value / kMaxOutlier, value * kMaxOutlier);
  const double difference = limited - value;
  const double step = std::max(weight, 1.0 / samples);
  value += step * difference;
  variance = (1 - step) * (variance + step * difference * difference);
}

double ServerPace::Mean::StandardError(double weight) const {
  const double count = std::min<double>(samples, 1 / weight);
  const double relative = variance / (value * value);
  const double assumed = (relative * count + kPriorVariance * kPriorSamples) /
                         (count + kPriorSamples);
  return std::sqrt(assumed / count);
}

void ServerPace::Add(ServerProcessId process, std::string_view service) {
  Server& server = servers_[process];
  if (server.service != service) server = {.service = std::string(service)};
}

void ServerPace::Remove(ServerProcessId process) { servers_.erase(process); }

void ServerPace::Observe(ServerProcessId process, const PaceSample& sample) {
  const auto found = servers_.find(process);
  const double seconds = ToSeconds(sample.time);
  if (found == servers_.end() || seconds <= 0) return;
  Server& server = found->second;
  Mean& reference = references_[server.service][ReferenceIndex(sample)];
  reference.Add(seconds, kReferenceWeight);
  const double ratio = seconds / reference.value;
  if (sample.step != PaceStep::kEvent) {
    const auto step = static_cast<size_t>(sample.step);
    server.ratios[step].Add(ratio, kStepWeights[step]);
    return;
  }
  server.event_sum += ratio;
  ++server.event_count;
}

void ServerPace::SampleEvents(Server& server, TimePoint now) {
  if (now - server.sampled_at > kRecentLifetime) server.last_ratio = 0;
  if (server.event_count == 0) return;
  const double ratio = server.event_sum / server.event_count;
  constexpr auto kEvent = static_cast<size_t>(PaceStep::kEvent);
  server.ratios[kEvent].Add(ratio, kStepWeights[kEvent]);
  server.recent_ratio = std::min(server.last_ratio, ratio);
  server.last_ratio = ratio;
  server.sampled_at = now;
  server.event_sum = 0;
  server.event_count = 0;
}

void ServerPace::Decay(Server& server, TimePoint now) {
  const double age = ToSeconds(now - server.decayed_at);
  server.decayed_at = now;
  const double kept = std::exp(-age / ToSeconds(kFailureMemory));
  server.attempts *= kept;
  server.failures *= kept;
}

void ServerPace::SetPeerObservations(
    const std::string& peer, std::span<const ServerObservation> observations,
    TimePoint now) {
  PeerReport& report = peer_reports_[peer];
  report.expires_at = now + kReportLifetimePeriods * ObservationPeriod();
  report.observations.clear();
  for (const ServerObservation& observation : observations) {
    report.observations[observation.process] = observation;
  }
}

void ServerPace::RemovePeer(const std::string& peer) {
  peer_reports_.erase(peer);
}

ServerPace::ServersOfService ServerPace::GroupByService() const {
  ServersOfService groups;
  for (const auto& [process, server] : servers_) {
    groups[server.service].push_back(process);
  }
  return groups;
}

void ServerPace::Update(TimePoint now) {
  const Duration period = std::max<Duration>(
      kMinUpdatePeriod,
      kUpdatePeriodPerServer * static_cast<int64_t>(servers_.size()));
  if (now - updated_at_ < period) return;
  updated_at_ = now;
  // Guards against estimates that stay after the reports of a peer were lost.
  std::erase_if(peer_reports_,
                [now](const auto& r) { return r.second.expires_at <= now; });
  CollectPeerViews();
  for (auto& [process, server] : servers_) {
    Decay(server, now);
    SampleEvents(server, now);
  }
  const ServersOfService groups = GroupByService();
  std::erase_if(references_,
                [&](const auto& r) { return !groups.contains(r.first); });
  for (const auto& [service, group] : groups) {
    UpdateSlowness(group);
    UpdateSlowStretches(group, now);
    UpdateFailures(group);
    UpdateStandings(group, now);
  }
  UpdateDiffers();
}

Duration ServerPace::ObservationPeriod() const {
  return std::max<Duration>(
      kMinObservationPeriod,
      kObservationPeriodPerPeer * static_cast<int64_t>(peer_reports_.size()));
}

void ServerPace::CollectPeerViews() {
  peer_views_.clear();
  for (const auto& [peer, report] : peer_reports_) {
    for (const auto& [process, observation] : report.observations) {
      peer_views_[process].push_back(observation);
    }
  }
}

std::span<const ServerObservation> ServerPace::PeerViewsOf(
    ServerProcessId process) const {
  const auto views = peer_views_.find(process);
  if (views == peer_views_.end()) return {};
  return views->second;
}

void ServerPace::UpdateOwnSlowness(const std::vector<ServerProcessId>& group) {
  struct Sum {
    double logs = 0;
    double weights = 0;
  };
  // Each step is compared with the median server before steps are combined,
  // since not every server has samples of each.
  std::map<ServerProcessId, Sum> sums;
  for (size_t step = 0; step < kSteps; ++step) {
    std::vector<double> known;
    for (const ServerProcessId process : group) {
      const Mean& mean = servers_[process].ratios[step];
      if (mean.samples >= kMinSamples[step]) known.push_back(mean.value);
    }
    if (known.size() < kMinServers) continue;
    const double median = Median(known);
    for (const ServerProcessId process : group) {
      const Mean& mean = servers_[process].ratios[step];
      if (mean.samples < kMinSamples[step]) continue;
      const double error = mean.StandardError(kStepWeights[step]);
      Sum& sum = sums[process];
      sum.logs += std::log(mean.value / median) / (error * error);
      sum.weights += 1 / (error * error);
    }
  }
  for (const ServerProcessId process : group) {
    const auto sum = sums.find(process);
    servers_[process].own_slowness =
        sum == sums.end()
            ? 0
            : SignificantSlowness(sum->second.logs / sum->second.weights,
                                  1 / std::sqrt(sum->second.weights));
  }
}

void ServerPace::UpdateSlowness(const std::vector<ServerProcessId>& group) {
  UpdateOwnSlowness(group);
  for (const ServerProcessId process : group) {
    Server& server = servers_[process];
    const double combined = CombinedSlowness(process, server);
    server.slowness = combined == 0 || IsEqual(combined) ? 1 : combined;
  }
}

double ServerPace::CombinedSlowness(ServerProcessId process,
                                    const Server& server) const {
  std::vector<double> views;
  if (server.own_slowness > 0) views.push_back(server.own_slowness);
  for (const ServerObservation& view : PeerViewsOf(process)) {
    if (view.slowness > 0) views.push_back(view.slowness);
  }
  if (views.empty()) return 0;
  return std::clamp(Median(views), kMinSlowness, kMaxSlowness);
}

void ServerPace::UpdateSlowStretches(const std::vector<ServerProcessId>& group,
                                     TimePoint now) {
  const auto is_fresh = [now](const Server& server) {
    return server.recent_ratio > 0 &&
           now - server.sampled_at <= kRecentLifetime;
  };
  std::vector<double> recent;
  for (const ServerProcessId process : group) {
    Server& server = servers_[process];
    server.in_slow_stretch = false;
    if (is_fresh(server)) recent.push_back(server.recent_ratio);
  }
  if (recent.size() < kMinServers) return;
  // A gateway that stands still sees all servers slow, so that they are
  // compared at the same moment.
  const double median = Median(recent);
  for (const ServerProcessId process : group) {
    Server& server = servers_[process];
    if (!is_fresh(server)) continue;
    const double usual = std::max(server.own_slowness, 1.0);
    server.in_slow_stretch =
        server.recent_ratio > kStretchFactor * usual * median;
  }
}

void ServerPace::UpdateFailures(const std::vector<ServerProcessId>& group) {
  std::vector<double> shares;
  for (const ServerProcessId process : group) {
    Server& server = servers_[process];
    const FailureView pool = PoolFailures(FailureViews(process, server));
    server.known_attempts = pool.attempts;
    server.known_failures = pool.failures;
    server.failure_share = pool.failures / (pool.attempts + kPriorAttempts);
    shares.push_back(server.failure_share);
  }
  const double median = Median(shares);
  for (const ServerProcessId process : group) {
    Server& server = servers_[process];
    const double excess = server.failure_share - median;
    server.failure_share = excess < kIgnoredFailureShare ? 0 : excess;
  }
}

std::vector<ServerPace::FailureView> ServerPace::FailureViews(
    ServerProcessId process, const Server& server) const {
  std::vector<FailureView> views;
  const auto add = [&](double attempts, double failures) {
    const double scale = std::min(1.0, kMaxViewAttempts / attempts);
    views.push_back({attempts * scale, failures * scale});
  };
  if (server.attempts >= kMinViewAttempts)
    add(server.attempts, server.failures);
  const bool has_own_view = !views.empty();
  for (const ServerObservation& view : PeerViewsOf(process)) {
    if (view.attempts > 0) add(view.attempts, view.failures);
  }
  // Alone, this gateway believes itself, but no single peer.
  if (views.size() == 1 && !has_own_view) views.clear();
  return views;
}

// The views are pooled, since each of many gateways makes few attempts at a
// server, but the one that adds most failures is left out. Of a single view one
// failure is left out, since it proves nothing.
ServerPace::FailureView ServerPace::PoolFailures(
    const std::vector<FailureView>& views) {
  FailureView pool;
  for (const FailureView& view : views) {
    pool.attempts += view.attempts;
    pool.failures += view.failures;
  }
  if (views.empty()) return pool;
  if (views.size() == 1) {
    pool.failures = std::max(0.0, pool.failures - 1);
    return pool;
  }
  const double share = pool.failures / pool.attempts;
  const auto excess = [share](const FailureView& view) {
    return view.failures - share * view.attempts;
  };
  const FailureView worst = *std::max_element(
      views.begin(), views.end(),
      [&](const auto& a, const auto& b) { return excess(a) < excess(b); });
  return {pool.attempts - worst.attempts, pool.failures - worst.failures};
}

void ServerPace::UpdateDiffers() {
  differing_.clear();
  for (const auto& [process, server] : servers_) {
    const bool differs = server.slowness != 1 || server.failure_share > 0 ||
                         server.in_slow_stretch ||
                         server.standing != ServerStanding::kTrusted;
    if (differs) differing_.insert(process);
  }
}

double ServerPace::WeightOf(ServerProcessId process, uint32_t in_flight,
                            PreferredPace preferred) const {
  if (!differing_.contains(process)) return 1;
  const auto found = servers_.find(process);
  if (found == servers_.end()) return 1;
  const Server& server = found->second;
  if (server.standing == ServerStanding::kAvoided) return 0;
  double weight = 1;
  const bool prefers_fast = preferred == PreferredPace::kFast;
  if (server.slowness != 1) {
    weight = prefers_fast
                 ? std::clamp(std::pow(server.slowness, -kSlownessExponent),
                              kMinSlownessWeight, kMaxSlownessWeight)
                 : std::clamp(server.slowness, 1 / kMaxSlowPreference,
                              kMaxSlowPreference);
  }
  if (prefers_fast && server.in_slow_stretch) weight *= kStretchWeight;
  if (server.failure_share > 0)
    weight *= std::pow(1 - server.failure_share, kFailureExponent);
  if (server.standing == ServerStanding::kTrusted) return weight;
  return in_flight > server.successes ? 0 : weight * kProbationWeight;
}

double ServerPace::SlownessOf(ServerProcessId process) const {
  const auto found = servers_.find(process);
  return found == servers_.end() ? 1 : found->second.slowness;
}

double ServerPace::FailureShareOf(ServerProcessId process) const {
  const auto found = servers_.find(process);
  return found == servers_.end() ? 0 : found->second.failure_share;
}

bool ServerPace::IsReportable(const ServerObservation& observation) const {
  const auto differs = [](const ServerObservation& view) {
    return view.failures > 0 || (view.slowness > 0 && !IsEqual(view.slowness));
  };
  if (differs(observation)) return true;
  // A peer that sees a difference needs the views that see none.
  const auto views = PeerViewsOf(observation.process);
  return std::any_of(views.begin(), views.end(), differs);
}

std::vector<ServerObservation> ServerPace::TakeObservations(TimePoint now) {
  std::vector<ServerObservation> observations;
  if (now - observations_taken_at_ < ObservationPeriod()) return observations;
  observations_taken_at_ = now;
  for (const auto& [process, server] : servers_) {
    const ServerObservation observation = {
        .process = process,
        .slowness = server.own_slowness,
        .attempts = RoundedCount(server.attempts),
        .failures = RoundedCount(server.failures)};
    if (IsReportable(observation)) observations.push_back(observation);
  }
  std::stable_sort(observations.begin(), observations.end(),
                   [](const auto& a, const auto& b) {
                     return std::pair(a.failures, a.slowness) >
                            std::pair(b.failures, b.slowness);
                   });
  if (observations.size() > kMaxObservations)
    observations.resize(kMaxObservations);
  return observations;
}

}  // namespace knapweedstile::serving
