#ifndef KNAPWEEDSTILE_JOBS_PARTIAL_OUTPUT_H_
#define KNAPWEEDSTILE_JOBS_PARTIAL_OUTPUT_H_

#include <cstdint>
#include <string>

namespace knapweedstile::jobs {

// The whole output of an item so far, over all its attempts, from which the
// next attempt goes on.
struct PartialOutput {
  std::string text;
  uint32_t tokens = 0;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_PARTIAL_OUTPUT_H_
