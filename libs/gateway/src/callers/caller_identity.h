#ifndef KNAPWEEDSTILE_GATEWAY_CALLER_IDENTITY_H_
#define KNAPWEEDSTILE_GATEWAY_CALLER_IDENTITY_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"
#include "http/header_list.h"

namespace knapweedstile::workspaces {
class WorkspaceDirectory;
}

namespace knapweedstile::gateway {

// Whether a caller may act for the workspace that it names by a key or by name.
enum class CallerAccess {
  kGranted,
  kNoKey,         // none, where one is needed
  kMalformedKey,  // not one well-formed key
  kUnknownKey,    // no workspace in force has it
};

// Who sends a request and what they say of it, by the platform's headers or the
// product's own (docs/design/protocols.md).
struct CallerIdentity {
  std::string host;
  std::string request_id;  // the caller's, or one made here
  std::string workspace;   // in force; empty: none
  CallerAccess access = CallerAccess::kGranted;
  std::optional<uint32_t> priority;  // of the workspace
  std::optional<Duration> budget;    // how long the caller will wait
  bool own_interface = false;  // named its request by the product's headers
};

// `made_id` serves a request that names none.
CallerIdentity ReadCaller(const http::HeaderList& headers,
                          const workspaces::WorkspaceDirectory& workspaces,
                          const std::string& made_id);

// Whether the caller's workspace may ask for the model that `body` names.
bool IsModelAllowed(std::string_view body, const CallerIdentity& caller,
                    const workspaces::WorkspaceDirectory& workspaces);

}  // namespace knapweedstile::gateway

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<gateway::CallerAccess> = {"granted", "no_key", "malformed_key",
                                         "unknown_key"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_GATEWAY_CALLER_IDENTITY_H_
