#ifndef KNAPWEEDSTILE_GATEWAY_GATEWAY_SETTINGS_H_
#define KNAPWEEDSTILE_GATEWAY_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/log.h"
#include "cluster/fleet_layout.h"
#include "settings/schema.h"
#include "workspaces/rate_quota_settings.h"

namespace knapweedstile::gateway {

// Settings of the roles that run on the users' platform.
struct GatewaySettings {
  std::string name;
  std::string ip;
  std::string availability_zone;
  double processor_share = 1;  // cores that this process may use
  uint32_t memory_mb = 256;    // that this process may use
  uint32_t max_descriptors = 4096;
  std::string callers_address;    // empty: this VM accepts no callers
  std::string readiness_address;  // readiness and metrics
  std::string metrics_address;    // metrics only; empty: no second address
  uint32_t peer_port = 0;
  // Up to this size of the fleet, messages between all gateways cost less than
  // forwarding calls to the gateways that hold a job.
  uint32_t max_undivided_gateways = cluster::kDefaultMaxUndividedGateways;
  std::string store_address;
  // How long the store keeps its change history.
  std::chrono::milliseconds store_history{20000};
  // Interval at which backend servers renew their records; a server that misses
  // three renewals is removed.
  std::chrono::milliseconds server_heartbeat{1200};
  // Minimum time that a job's results stay readable after its acceptance.
  std::chrono::milliseconds result_retention{120000};
  // Memory of batch jobs beyond which no further ones are accepted. The same at
  // all gateways, since each holds the jobs that the others accept.
  uint32_t max_job_memory_mb = 40;
  // Time between the signal to stop and the kill that follows it.
  std::chrono::milliseconds stop_grace{8000};
  // How strictly workspaces' rate limits are enforced.
  workspaces::RateQuotaSettings rate_quota;
  // How long a gateway that receives no configuration updates accepts the keys
  // that it knows; zero: indefinitely.
  std::chrono::milliseconds trust_configuration_for{0};
  // Bounds that the users' platform sets and this system does not interpret;
  // written to the log at the start.
  std::string unexplained_bounds;
  // Number of most recent timeline events kept; each takes about 300 bytes.
  uint32_t timeline_events = 2000;
  LogLevel log_level = LogLevel::kInfo;
};

// Binds every key of the settings file to its field. `settings` must outlive
// the calls of `schema.Load`.
void BindGatewaySettings(settings::Schema& schema, GatewaySettings* settings);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_GATEWAY_SETTINGS_H_
