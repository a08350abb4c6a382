#ifndef KNAPWEEDSTILE_SERVING_BATCH_ITEM_H_
#define KNAPWEEDSTILE_SERVING_BATCH_ITEM_H_

#include <cstdint>
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

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_BATCH_ITEM_H_
