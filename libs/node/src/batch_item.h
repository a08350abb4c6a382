#ifndef KNAPWEEDSTILE_NODE_BATCH_ITEM_H_
#define KNAPWEEDSTILE_NODE_BATCH_ITEM_H_

#include <cstdint>

#include "base/time.h"
#include "jobs/item_ticket.h"
#include "openai_api.h"

namespace knapweedstile::node {

// One batch item while it is dispatched.
struct BatchItem {
  uint32_t shard = 0;
  jobs::ItemTicket ticket;
  std::string policy;
  TimePoint submitted_at;
  TimePoint last_output_at;  // the epoch until the first output
  CompletionAnswer answer;   // output of all attempts so far
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_BATCH_ITEM_H_
