#include "node/sidecar_node_settings.h"

#include "settings/schema.h"

namespace knapweedstile::node {

void BindSidecarNodeSettings(settings::Schema& schema,
                             SidecarNodeSettings* settings) {
  using settings::Presence;
  BindNodeSettings(schema, &settings->node);
  schema.Choice("backend_server.kind", "What stands beside this sidecar.",
                &settings->kind);
  schema.Text("backend_server.target",
              "The model or service that the backend server offers.",
              &settings->target, Presence::kRequired);
  schema.Address("backend_server.address", "Where the backend server listens.",
                 &settings->backend_server_address, Presence::kRequired);
  schema.Millis("backend_server.health_period", "Between health probes.",
                &settings->health_period, 20, 60'000);
  schema.Integer("gate.slots", "requests",
                 "Requests that the backend server runs at once.",
                 &settings->gate.slots, 1, 100'000);
  schema.Integer("gate.online_waiting", "requests",
                 "Online requests waiting here for a slot.",
                 &settings->gate.online_waiting, 0, 100'000);
  schema.Integer("gate.batch_waiting", "items",
                 "Batch items waiting here, parked ones included.",
                 &settings->gate.batch_waiting, 0, 100'000);
}

}  // namespace knapweedstile::node
