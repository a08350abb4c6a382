#ifndef KNAPWEEDSTILE_JOBS_OUTSTANDING_ITEM_H_
#define KNAPWEEDSTILE_JOBS_OUTSTANDING_ITEM_H_

#include <cstdint>
#include <string>

#include "jobs/lane.h"
#include "jobs/partial_output.h"

namespace knapweedstile::jobs {

// An item outside its input segment: in flight, or waiting to go out again.
struct OutstandingItem {
  std::string job;  // the id's hash
  uint32_t index = 0;
  std::string custom_id;
  std::string body;
  Lane lane;
  PartialOutput partial;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_OUTSTANDING_ITEM_H_
