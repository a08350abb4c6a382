#ifndef KNAPWEEDSTILE_NODE_NODE_SETTINGS_H_
#define KNAPWEEDSTILE_NODE_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/log.h"

namespace knapweedstile::settings {
class Schema;
}

namespace knapweedstile::node {

// What every process of the system needs, whatever its role.
struct NodeSettings {
  std::string name;
  std::string availability_zone;
  std::string fleet_listen = "127.0.0.1:0";
  std::string admin_listen = "127.0.0.1:0";
  LogLevel log_level = LogLevel::kInfo;
  uint32_t timeline_events = 16384;
  // Between the notice of leaving and the end of accepting, so that balancers
  // and peers see the notice before the door closes.
  std::chrono::milliseconds drain_notice{1000};
  // Requests that take longer than this after the notice are cut.
  std::chrono::milliseconds drain_limit{120000};
  std::chrono::milliseconds heartbeat_period{500};
  std::chrono::milliseconds silence_limit{2000};
};

void BindNodeSettings(settings::Schema& schema, NodeSettings* settings);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_NODE_SETTINGS_H_
