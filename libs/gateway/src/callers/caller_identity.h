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

// Whether a caller may act for the workspace that it gives by key or by name.
enum class CallerAccess {
  kGranted,
  kNoKey,         // none, but one is required
  kMalformedKey,  // not a single well-formed key
  kUnknownKey,    // no active workspace has it
};

// The caller of a request and what it states about the request, in the headers
// of the platform or of the product's own interface (docs/design/protocols.md).
struct CallerIdentity {
  std::string host;
  std::string request_id;  // the caller's, or a generated one
  std::string workspace;   // active; empty: none
  CallerAccess access = CallerAccess::kGranted;
  std::optional<uint32_t> priority;  // of the workspace
  std::optional<Duration> budget;    // how long the caller waits
  // Has received events of a stream, of which the request `resumes` brought the
  // first, and asks for the rest of it.
  bool continues_stream = false;
  std::string resumes;         // empty: not named
  bool own_interface = false;  // used the product's headers
  // A gateway without the job's bytes sent the call here, as to a holder of
  // them.
  bool sent_to_holder = false;
};

// `generated_id` becomes the ID of a request that has none.
CallerIdentity ReadCaller(const http::HeaderList& headers,
                          const workspaces::WorkspaceDirectory& workspaces,
                          const std::string& generated_id);

// Whether the caller's workspace may use the model that `body` names.
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
