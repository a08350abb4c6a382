#ifndef KNAPWEEDSTILE_NODE_SERVICE_CALL_H_
#define KNAPWEEDSTILE_NODE_SERVICE_CALL_H_

#include <string>

#include "base/id.h"
#include "caller_identity.h"

namespace knapweedstile::node {

// One call of a plain service that a caller waits for.
struct ServiceCall {
  ExchangeId exchange;  // none once the caller is gone
  CallerIdentity identity;
  std::string service;
  std::string body;  // of the answer so far
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_SERVICE_CALL_H_
