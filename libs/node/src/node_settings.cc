#include "node/node_settings.h"

#include "settings/schema.h"

namespace knapweedstile::node {

void BindNodeSettings(settings::Schema& schema, NodeSettings* settings) {
  using settings::Presence;
  schema.Text("node.name", "Name of the VM, as in the platform's VM list.",
              &settings->name, Presence::kRequired);
  schema.Text("node.availability_zone", "Availability zone of the VM.",
              &settings->availability_zone, Presence::kRequired);
  schema.Address("node.fleet_listen",
                 "Listener for other processes of the system.",
                 &settings->fleet_listen);
  schema.Address("node.admin_listen",
                 "Listener for operators: health, metrics, status, time line.",
                 &settings->admin_listen);
  schema.Choice("node.log_level", "Least level that is written.",
                &settings->log_level);
  schema.Integer("node.timeline_events", "events",
                 "Events that the time line keeps in memory.",
                 &settings->timeline_events, 16, 10'000'000);
  schema.Millis("node.drain_notice",
                "From the notice of leaving until nothing new is accepted.",
                &settings->drain_notice, 0, 60'000);
  schema.Millis("node.drain_limit",
                "Requests that take longer than this after the notice are cut.",
                &settings->drain_limit, 1000, 86'400'000);
  schema.Millis("node.heartbeat_period",
                "Between heartbeats on each connection, in both directions.",
                &settings->heartbeat_period, 20, 60'000);
  schema.Millis("node.silence_limit",
                "A connection from which nothing came for this long is "
                "replaced; at least three heartbeat periods.",
                &settings->silence_limit, 100, 600'000);
}

}  // namespace knapweedstile::node
