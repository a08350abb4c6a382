#ifndef KNAPWEEDSTILE_SOAK_SOAK_SITE_H_
#define KNAPWEEDSTILE_SOAK_SOAK_SITE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/rng.h"
#include "base/time.h"
#include "fault_windows.h"
#include "findings.h"
#include "harness/proxy.h"
#include "operations_log.h"
#include "run_index.h"
#include "soak_size.h"
#include "users_platform/site.h"

namespace knapweedstile::soak {

// The deployment under test: real gateway processes, with a proxy on each link
// from a gateway to the store, from gateways to a backend server, and from
// callers to a gateway.
class SoakSite {
 public:
  static constexpr int kEvents = 40;  // per stream

  SoakSite(const SoakSize& size, Findings& findings);

  // Starts all processes and waits until every gateway is ready.
  void Start();
  // Runs the load balancer's probes, restarts terminated processes and runs due
  // actions.
  void Run(TimePoint now);
  // Schedules `action` for the first Run at or after `at`.
  void RunAt(TimePoint at, std::function<void()> action);
  bool idle() const noexcept { return scheduled_actions_.empty(); }

  // Gateway operations.
  void Kill(const std::string& gateway);
  void Stop(const std::string& gateway, TimePoint now);
  void SetClockOffset(const std::string& gateway, int seconds);
  // Server operations.
  void Drain(users_site::ModelServer& server, TimePoint now);
  // All servers of the second service leave, drained or by a crash, until
  // `back_at`.
  void DrainSecondService(TimePoint back_at, TimePoint now);
  void CrashSecondService(TimePoint back_at);
  void RemoveWithoutDraining(users_site::ModelServer& server, TimePoint now);
  void AddModelServer();
  // Restarts the server as a new instance. If `registered`, the instance is
  // registered at once, otherwise after twice the registration lifetime.
  void Replace(users_site::ModelServer& server, bool registered);
  // Divides the routes of engines between both services, or ends the division;
  // `draw` sets weights and order.
  void SplitRoutes(uint64_t draw, TimePoint now);
  // Adds an extra route, or removes the oldest.
  void ChangeConfiguration(bool add, TimePoint now);
  harness::Proxy* ProxyOf(const std::string& link);
  // The gateway that reaches the store at this address; empty if none does.
  std::string GatewayAtStore(std::string_view address) const;

  // Queries.
  users_site::Site& site() noexcept { return site_; }
  FaultWindows& fault_windows() noexcept { return fault_windows_; }
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
  // A random gateway in the load balancer's rotation, or any gateway if the
  // rotation is empty.
  const std::string& PickGateway(Rng& rng) const;
  // One of the most recent changing keys, or the next one, not yet added.
  std::string PickChangingKey(Rng& rng) const;
  // One of the most recently added extra routes.
  std::string PickExtraRoute(Rng& rng) const;
  RunIndex Runs() const;

 private:
  struct GatewayState {
    int starts = 1;
    bool exit_expected = false;  // the test stopped or killed it
    TimePoint restart_at = kNever;
    int missed_probes = 0;
    TimePoint probe_at{};
    ExchangeId probe;  // in progress
    bool in_rotation = true;
  };

  void Probe(const std::string& gateway, GatewayState& state, TimePoint now);
  void CheckProcess(const std::string& gateway, GatewayState& state,
                    TimePoint now);
  // Revokes the changing key and adds another one to the same workspace.
  void ChangeKeys(TimePoint now);
  void Configure();
  std::string Interpose(const std::string& link, const std::string& address);
  std::string ClockFile(const std::string& gateway) const;
  // Sets what streams of an engine look like.
  static void Prepare(users_site::ModelServer& server, int slots);
  void StartSecondService();
  void DrainUntil(users_site::ModelServer& server, TimePoint back_at,
                  TimePoint now);
  // The server's new instance is registered at `registered_at`.
  void ReplaceAt(users_site::ModelServer& server, TimePoint registered_at);
  std::string NewInstance();
  // Software version of the newest instance.
  std::string NextVersion() const;

  SoakSize size_;
  Findings& findings_;
  FaultWindows fault_windows_;
  OperationsLog operations_;
  harness::ScratchFolder clocks_;
  users_site::Site site_;
  std::map<std::string, std::unique_ptr<harness::Proxy>> proxies_;
  std::map<std::string, std::string> behind_;  // address -> proxy's address
  std::vector<std::string> gateways_;
  std::map<std::string, GatewayState> gateway_states_;
  std::vector<users_site::ModelServer*> servers_;
  // Not among `servers_`, whose number faults draw their targets from.
  std::vector<users_site::ModelServer*> second_service_;
  std::multimap<TimePoint, std::function<void()>> scheduled_actions_;
  int version_ = 1;
  int last_instance_ = 0;
  int last_second_ = 0;  // instance of the second service
  int last_route_ = 0;
  int last_key_ = 0;
  TimePoint keys_change_at_ = kNever;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_SOAK_SITE_H_
