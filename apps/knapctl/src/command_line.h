#ifndef KNAPWEEDSTILE_KNAPCTL_COMMAND_LINE_H_
#define KNAPWEEDSTILE_KNAPCTL_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace knapweedstile::ctl {

// The flags that every command takes; a command's own flags are parsed by it.
struct CommandLine {
  std::string platform;              // --platform, or KNAP_PLATFORM
  std::vector<std::string> entries;  // --entry, or KNAP_ENTRIES (by comma)
  std::vector<std::string> admins;   // --admin, or KNAP_ADMINS (by comma)
  std::string workspace = "default";
  std::string api_key;  // KNAP_API_KEY: of the workspace
  std::string host;     // --host, or KNAP_HOST: of the routes asked for
  bool json = false;    // -o json
  std::vector<std::string> words;
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_COMMAND_LINE_H_
