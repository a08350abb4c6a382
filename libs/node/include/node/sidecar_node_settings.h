#ifndef KNAPWEEDSTILE_NODE_SIDECAR_NODE_SETTINGS_H_
#define KNAPWEEDSTILE_NODE_SIDECAR_NODE_SETTINGS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "decide/gate_settings.h"
#include "node/node_settings.h"

namespace knapweedstile::node {

// What stands beside the sidecar.
enum class BackendServerKind { kModelEngine, kPlainService };

struct SidecarNodeSettings {
  NodeSettings node;
  BackendServerKind kind = BackendServerKind::kModelEngine;
  std::string target;  // the model or service that the backend server offers
  std::string backend_server_address;
  std::chrono::milliseconds health_period{500};
  decide::GateSettings gate;
};

void BindSidecarNodeSettings(settings::Schema& schema,
                             SidecarNodeSettings* settings);

}  // namespace knapweedstile::node

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 2>
    kEnumNames<node::BackendServerKind> = {"model_engine", "plain_service"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_NODE_SIDECAR_NODE_SETTINGS_H_
