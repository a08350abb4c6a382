#ifndef KNAPWEEDSTILE_SERVING_BATCH_ITEM_H_
#define KNAPWEEDSTILE_SERVING_BATCH_ITEM_H_

#include <cstdint>
#include <span>
#include <string>

#include "http/header_list.h"

namespace knapweedstile::serving {

// One item of a batch job: a request that runs later.
struct BatchItem {
  std::string id;
  std::string target;
  http::HeaderList headers;
  std::string body;
  uint64_t tokens = 0;  // prompt and maximum output
};

// The first item whose id an earlier one has; null if there is none.
const BatchItem* FindRepeated(std::span<const BatchItem> items);

// The first item whose request can't be sent to any server because of its id,
// target or header fields; null if there is none.
const BatchItem* FindUnsendable(std::span<const BatchItem> items);

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_BATCH_ITEM_H_
