#ifndef KNAPWEEDSTILE_NODE_ENTRY_NODE_SETTINGS_H_
#define KNAPWEEDSTILE_NODE_ENTRY_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "decide/entry_settings.h"
#include "http/server_settings.h"
#include "jobs/shard_owner_settings.h"
#include "node/node_settings.h"

namespace knapweedstile::node {

struct EntryNodeSettings {
  NodeSettings node;
  std::string callers_listen = "127.0.0.1:0";
  http::ServerSettings http;
  std::vector<std::string> platform_addresses;
  std::chrono::milliseconds vm_list_period{1000};
  std::chrono::milliseconds watch_wait{25000};
  std::chrono::milliseconds watch_gap{1000};
  uint32_t relays = 2;
  uint32_t servers_per_target = 0;
  std::chrono::milliseconds forget_after{30000};
  std::chrono::milliseconds platform_deadline{3000};
  // The first token of an online answer is late after this, unless the caller
  // says otherwise with X-Deadline-Ms.
  std::chrono::milliseconds online_deadline{10000};
  bool require_workspace = false;
  uint32_t default_max_tokens = 256;
  uint32_t most_max_tokens = 32768;
  decide::EntrySettings scheduler;
  uint32_t shard_count = 16;  // the same on every entry of a fleet
  uint32_t max_items = 130'000;
  std::chrono::milliseconds submit_deadline{30000};
  std::chrono::milliseconds lease_term{15000};
  std::chrono::milliseconds flush_every{1000};
  std::chrono::milliseconds poll_jobs_every{2000};
  uint32_t max_attempts = 3;
};

// The jobs package's settings that follow from these.
jobs::ShardOwnerSettings ShardOwnerSettingsOf(
    const EntryNodeSettings& settings);

void BindEntryNodeSettings(settings::Schema& schema,
                           EntryNodeSettings* settings);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ENTRY_NODE_SETTINGS_H_
