#ifndef KNAPWEEDSTILE_NODE_ONLINE_CALL_H_
#define KNAPWEEDSTILE_NODE_ONLINE_CALL_H_

#include <string>

#include "base/id.h"
#include "base/time.h"
#include "caller_identity.h"
#include "openai_api.h"

namespace knapweedstile::node {

// One completion that a caller waits for.
struct OnlineCall {
  ExchangeId exchange;
  CallerIdentity identity;
  std::string policy;
  bool stream = false;
  bool stream_begun = false;
  TimePoint received_at;
  TimePoint last_output_at;  // the epoch until the first output
  CompletionAnswer answer;   // grows with the output
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ONLINE_CALL_H_
