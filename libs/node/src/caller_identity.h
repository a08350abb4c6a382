#ifndef KNAPWEEDSTILE_NODE_CALLER_IDENTITY_H_
#define KNAPWEEDSTILE_NODE_CALLER_IDENTITY_H_

#include <string>

namespace knapweedstile::node {

// Who sent a request, as far as the system cares.
struct CallerIdentity {
  std::string workspace;
  std::string caller;
  std::string request_id;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_CALLER_IDENTITY_H_
