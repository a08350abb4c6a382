#include "gateway/gateway_settings.h"

namespace knapweedstile::gateway {

using settings::Presence;

void BindGatewaySettings(settings::Schema& schema, GatewaySettings* settings) {
  schema.Text("node.name", "name of this VM, unique in the fleet",
              &settings->name, Presence::kRequired);
  schema.Text("node.ip", "address that the other entries reach", &settings->ip,
              Presence::kRequired);
  schema.Text("node.availability_zone", "availability zone of this VM",
              &settings->availability_zone, Presence::kRequired);
  schema.Real("node.processor_share", "cores",
              "that this process may use; gateways with more do more for the "
              "others",
              &settings->processor_share, 0.001, 1024);
  schema.Integer("node.memory_mb", "MB",
                 "that this process may use; callers' requests and responses "
                 "take at most a quarter, other limits follow from it too",
                 &settings->memory_mb, 64, 1'000'000);
  schema.Integer("node.max_descriptors", "descriptors",
                 "that this process may have open; callers' connections take "
                 "at most half of them, and 3500",
                 &settings->max_descriptors, 256, 1'000'000);
  schema.Address("listen.callers", "where callers connect",
                 &settings->callers_address);
  schema.Address("listen.readiness", "readiness probe and /metrics",
                 &settings->readiness_address);
  schema.Address("listen.metrics", "metrics alone, at an address that stays",
                 &settings->metrics_address);
  schema.Integer("listen.peer_port", "port",
                 "UDP port for messages between entries", &settings->peer_port,
                 0, 65535);
  schema.Integer("fleet.max_undivided", "gateways",
                 "in a fleet of which each holds every job; a fleet that has "
                 "more before its first job is divided",
                 &settings->max_undivided_gateways, 1, 1000);
  schema.Address("store.address", "the platform's object store",
                 &settings->store_address, Presence::kRequired);
  schema.Seconds("store.history", "how long the store keeps what has changed",
                 &settings->store_history);
  schema.Millis("servers.heartbeat_ms",
                "how often backend servers renew their entries",
                &settings->server_heartbeat, 10, 60000);
  schema.Seconds("batch.result_retention",
                 "how long results stay readable after a job's acceptance",
                 &settings->result_retention);
  schema.Integer("batch.max_memory_mb", "MB",
                 "of the jobs that a gateway holds, beyond which it accepts no "
                 "further ones; the same at all gateways",
                 &settings->max_job_memory_mb, 1, 1'000'000);
  schema.Seconds("workspaces.rate_window",
                 "span in which a workspace's rate and burst hold",
                 &settings->rate_quota.window, 1, 60);
  schema.Real("workspaces.rate_overage", "share",
              "of the limit, that all entries together may admit beyond it",
              &settings->rate_quota.overage_share, 0, 1);
  schema.Real("workspaces.rate_slack", "requests",
              "that all entries together may admit beyond it besides",
              &settings->rate_quota.slack_requests, 0, 10000);
  schema.Seconds("workspaces.trust_for",
                 "how long a gateway without news of the configuration takes "
                 "keys for valid; 0: without end",
                 &settings->trust_configuration_for);
  schema.Text("platform.unexplained_bounds",
              "bounds of the users' platform whose meaning is not known here; "
              "told in the log at the start",
              &settings->unexplained_bounds);
  schema.Seconds("stop.grace", "from the signal to stop to the kill",
                 &settings->stop_grace);
  schema.Integer("timeline.events", "events",
                 "last events of the time line that are kept",
                 &settings->timeline_events, 0, 10'000'000);
  schema.Choice("log.level", "least level that is logged",
                &settings->log_level);
}

}  // namespace knapweedstile::gateway
