#ifndef KNAPWEEDSTILE_NODE_CALLER_ACCESS_H_
#define KNAPWEEDSTILE_NODE_CALLER_ACCESS_H_

#include <optional>
#include <string>

#include "api_error.h"
#include "caller_identity.h"
#include "http/header_list.h"

namespace knapweedstile::objects {
class Catalog;
}

namespace knapweedstile::node {

// Whether callers may act for workspaces that are no objects in force.
enum class WorkspaceRule { kAnyName, kObjectsOnly };

// Who sent a request: `Authorization: Bearer KEY` names the workspace that has
// the key's SHA-256, else `X-Workspace` does. The request id is left to the
// asker.
CallerIdentity ReadIdentity(const http::HeaderList& headers,
                            const objects::Catalog& catalog);

// Why the caller may not act for its workspace; none when it may. A workspace
// that has keys is reached by one of them only.
std::optional<ApiError> CheckAccess(const http::HeaderList& headers,
                                    const CallerIdentity& identity,
                                    WorkspaceRule rule,
                                    const objects::Catalog& catalog);

// Why the workspace may not ask for the model; none when it may.
std::optional<ApiError> CheckModel(const CallerIdentity& identity,
                                   const std::string& model,
                                   const objects::Catalog& catalog);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_CALLER_ACCESS_H_
