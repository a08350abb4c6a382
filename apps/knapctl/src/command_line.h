#ifndef KNAPWEEDSTILE_KNAPCTL_COMMAND_LINE_H_
#define KNAPWEEDSTILE_KNAPCTL_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace knapweedstile::ctl {

// Flags common to all commands. Each command parses its own arguments.
struct CommandLine {
  std::string platform;  // --platform, or KNAP_PLATFORM
  // --entry, or KNAP_ENTRIES (comma-separated): callers' addresses.
  std::vector<std::string> gateways;
  // --admin, or KNAP_ADMINS (comma-separated): admin addresses.
  std::vector<std::string> admins;
  std::string workspace = "default";
  std::string api_key;  // KNAP_API_KEY: key of the workspace
  std::string host;     // --host, or KNAP_HOST: host of the requested routes
  bool json = false;    // -o json
  std::vector<std::string> arguments;
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_COMMAND_LINE_H_
