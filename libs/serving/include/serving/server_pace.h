#ifndef KNAPWEEDSTILE_SERVING_SERVER_PACE_H_
#define KNAPWEEDSTILE_SERVING_SERVER_PACE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "serving/pace_sample.h"
#include "serving/server_observation.h"
#include "serving/standing_change.h"
#include "serving/usage_by_process.h"

namespace knapweedstile::serving {

// Which servers a request prefers among those that serve it well.
enum class PreferredPace { kFast, kSlow };

// Estimates how fast each backend server process responds and which share of
// its attempts fails, relative to the other servers of its service, from what
// this gateway and its peers observe.
//
// Answers servers of one service whose speeds differ by a factor of two, that
// are slow for half a second at a time, that fail a third of their requests
// while their health check is good, or that go down and up within seconds. The
// registration tells nothing of this, and free slots alone attract requests to
// a server that fails them quickly.
//
// - Times are compared with the service's mean for the same kind of step and
//   load, and then with the median server, so that a change that affects all
//   servers affects no choice.
// - A single failure or outlier changes nothing. Three failures in a row, or a
//   high share of failures, make the server avoided for a while, then put on
//   probation: a few requests at a time. A failure on probation doubles the
//   time.
// - At most a quarter of a service is avoided or on probation at once, and none
//   when more than half of it fails.
// - Slowness is the median of the views of this gateway and its peers. The
//   share of failures leaves out the view with the highest one, so that one
//   gateway with a broken network path decides nothing for the others.
//
// Pure logic: no I/O, no clock, no threads; the caller passes the time.
class ServerPace {
 public:
  // Commands: processes of backend servers. A new process has no past.
  void Add(ServerProcessId process, std::string_view service);
  void Remove(ServerProcessId process);

  // Commands: observations of this gateway.
  void Observe(ServerProcessId process, const PaceSample& sample);
  void OnServed(ServerProcessId process, TimePoint now);
  // The attempt broke, or its response was a failure of the server.
  void OnFailed(ServerProcessId process, TimePoint now);

  // Commands: observations of peers. Replaces those of the peer's last report.
  void SetPeerObservations(const std::string& peer,
                           std::span<const ServerObservation> observations,
                           TimePoint now);
  void RemovePeer(const std::string& peer);

  // Computes the estimates anew, at most every 100 ms and once a millisecond
  // for each server.
  void Update(TimePoint now);
  // What peers should know, once a second or less often in large fleets, of at
  // most 24 servers; nothing while no gateway sees a server that differs.
  std::vector<ServerObservation> TakeObservations(TimePoint now);
  // The changes of standing since the last call.
  std::vector<StandingChange> TakeChanges();

  // Queries.
  // False while all servers look equal: every weight and slowness is then one.
  bool differs() const noexcept { return !differing_.empty(); }
  // Factor on the server's weight for one more request, of which this gateway
  // has `in_flight` there. Zero for a server that is avoided.
  double WeightOf(ServerProcessId process, uint32_t in_flight,
                  PreferredPace preferred) const;
  // Time per step relative to the median server; one if not known to differ.
  double SlownessOf(ServerProcessId process) const;
  double FailureShareOf(ServerProcessId process) const;
  ServerStanding StandingOf(ServerProcessId process) const;
  size_t CountAvoided() const;

 private:
  // Running mean that limits the effect of an outlier.
  struct Mean {
    double value = 0;
    double variance = 0;
    uint32_t samples = 0;
    void Add(double sample, double weight);
    // Of the mean, relative to it.
    double StandardError(double weight) const;
  };
  static constexpr size_t kSteps = 3;
  // Mean times of a service by step, traffic class and load.
  using References = std::array<Mean, kSteps * 4>;
  struct Server {
    std::string service;
    // Own observations, as ratios to the service's mean.
    std::array<Mean, kSteps> ratios;
    // Ratios of the events since the last update. Events of one moment vary
    // together, so that they count as one sample.
    double event_sum = 0;
    uint32_t event_count = 0;
    double last_ratio = 0;    // in the last update period; zero: unknown
    double recent_ratio = 0;  // the lower one of the last two periods
    TimePoint sampled_at{};
    double attempts = 0;  // decaying
    double failures = 0;
    TimePoint decayed_at{};
    uint32_t failures_in_row = 0;
    TimePoint failed_at{};
    // Estimates.
    double own_slowness = 0;  // zero: unknown
    double slowness = 1;
    double failure_share = 0;   // beyond the median server's
    double known_attempts = 0;  // on which the share rests
    double known_failures = 0;
    bool in_slow_stretch = false;
    // Standing.
    ServerStanding standing = ServerStanding::kTrusted;
    uint32_t relapses = 0;
    uint32_t successes = 0;  // on probation
    TimePoint avoided_until{};
    TimePoint restored_at{};
  };
  struct FailureView {
    double attempts = 0;
    double failures = 0;
  };
  struct PeerReport {
    std::map<ServerProcessId, ServerObservation> observations;
    TimePoint expires_at{};
  };
  using ServersOfService =
      std::map<std::string, std::vector<ServerProcessId>, std::less<>>;

  static void Decay(Server& server, TimePoint now);
  static void SampleEvents(Server& server, TimePoint now);
  ServersOfService GroupByService() const;
  void UpdateOwnSlowness(const std::vector<ServerProcessId>& group);
  void UpdateSlowness(const std::vector<ServerProcessId>& group);
  void UpdateSlowStretches(const std::vector<ServerProcessId>& group,
                           TimePoint now);
  void UpdateFailures(const std::vector<ServerProcessId>& group);
  void UpdateStandings(const std::vector<ServerProcessId>& group,
                       TimePoint now);
  // Median over the views; zero: no view.
  double CombinedSlowness(ServerProcessId process, const Server& server) const;
  std::vector<FailureView> FailureViews(ServerProcessId process,
                                        const Server& server) const;
  static FailureView PoolFailures(const std::vector<FailureView>& views);
  // Whether the share of failures is high and rests on more than chance.
  static bool FailsOften(const Server& server);
  bool IsReportable(const ServerObservation& observation) const;
  // Whether many servers of the service fail at once, or as many as may be are
  // avoided already.
  bool MayAvoidOneMore(std::string_view service, TimePoint now) const;
  static bool IsFailing(const Server& server, TimePoint now);
  void Avoid(ServerProcessId process, Server& server, TimePoint now);
  void SetStanding(ServerProcessId process, Server& server,
                   ServerStanding standing);
  void UpdateDiffers();
  Duration ObservationPeriod() const;
  void CollectPeerViews();
  std::span<const ServerObservation> PeerViewsOf(ServerProcessId process) const;

  std::map<ServerProcessId, Server> servers_;
  std::map<std::string, References, std::less<>> references_;  // by service
  std::map<std::string, PeerReport> peer_reports_;
  std::vector<StandingChange> changes_;
  TimePoint updated_at_{};
  TimePoint observations_taken_at_{};
  // What peers observed of each server, as of the last update.
  std::unordered_map<ServerProcessId, std::vector<ServerObservation>>
      peer_views_;
  // The servers that do not look like the others.
  std::unordered_set<ServerProcessId> differing_;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVER_PACE_H_
