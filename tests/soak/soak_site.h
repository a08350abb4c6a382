#ifndef KNAPWEEDSTILE_SOAK_SOAK_SITE_H_
#define KNAPWEEDSTILE_SOAK_SOAK_SITE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/rng.h"
#include "base/time.h"
#include "disturbances.h"
#include "findings.h"
#include "harness/proxy.h"
#include "operations_log.h"
#include "run_index.h"
#include "soak_size.h"
#include "users_platform/site.h"

namespace knapweedstile::soak {

// The deployment under test: gateways as real processes, with a proxy on each
// way from a gateway to the store, to a backend server and from callers.
class SoakSite {
 public:
  static constexpr int kEvents = 40;  // of each stream

  SoakSite(const SoakSize& size, Findings& findings);

  // Starts everything and waits until it is ready.
  void Start();
  // Balancer, restarts of ended processes, steps that are due.
  void Run(TimePoint now);
  // After `pause`, in Run.
  void Later(TimePoint at, std::function<void()> step);
  bool idle() const noexcept { return steps_.empty(); }

  // Commands on gateways.
  void Kill(const std::string& gateway);
  void Stop(const std::string& gateway, TimePoint now);
  void JumpClock(const std::string& gateway, int seconds);
  // On servers.
  void Drain(users_site::ModelServer& server, TimePoint now);
  void Vanish(users_site::ModelServer& server, TimePoint now);
  void AddModelServer();
  // As a new instance, of another service when `moves`.
  void Replace(users_site::ModelServer& server, bool registered);
  // On the configuration: adds a route, or removes the oldest.
  void ChangeConfiguration(bool add, TimePoint now);
  harness::Proxy* ProxyOf(const std::string& who);

  // Queries.
  users_site::Site& site() noexcept { return site_; }
  Disturbances& disturbances() noexcept { return disturbances_; }
  const OperationsLog& operations() const noexcept { return operations_; }
  const std::vector<std::string>& gateways() const noexcept {
    return gateways_;
  }
  const std::vector<users_site::ModelServer*>& servers() const noexcept {
    return servers_;
  }
  int StartsOf(const std::string& gateway) const {
    return gateway_states_.at(gateway).starts;
  }
  bool Running(const std::string& gateway) {
    return site_.process(gateway).running();
  }
  // One that the balancer has in rotation; any when there is none.
  const std::string& PickGateway(Rng& rng) const;
  // Of the keys that come and go, one of the last few.
  std::string PickChangingKey(Rng& rng) const;
  // Of the routes that came and went, mostly a late one.
  std::string PickExtraRoute(Rng& rng) const;
  RunIndex Runs() const;

 private:
  struct GatewayState {
    int starts = 1;
    bool restart_wanted = false;  // its end was ordered
    TimePoint restart_at = kNever;
    int misses = 0;
    TimePoint probe_at{};
    ExchangeId probe;  // in progress
    bool in_rotation = true;
  };

  void Probe(const std::string& gateway, GatewayState& state, TimePoint now);
  void CheckProcess(const std::string& gateway, GatewayState& state,
                    TimePoint now);
  // Takes a key away and gives another to the same workspace.
  void ChangeKeys(TimePoint now);
  void Configure();
  std::string Interpose(const std::string& who, const std::string& address);
  std::string ClockFile(const std::string& gateway) const;
  std::string NewInstance();

  SoakSize size_;
  Findings& findings_;
  Disturbances disturbances_;
  OperationsLog operations_;
  harness::ScratchFolder clocks_;
  users_site::Site site_;
  std::map<std::string, std::unique_ptr<harness::Proxy>> proxies_;
  std::map<std::string, std::string> behind_;  // address -> proxy's address
  std::vector<std::string> gateways_;
  std::map<std::string, GatewayState> gateway_states_;
  std::vector<users_site::ModelServer*> servers_;
  std::multimap<TimePoint, std::function<void()>> steps_;
  int version_ = 1;
  int last_instance_ = 0;
  int last_route_ = 0;
  int last_key_ = 0;
  TimePoint keys_change_at_ = kNever;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_SOAK_SITE_H_
