#ifndef KNAPWEEDSTILE_HARNESS_SEED_RANGE_H_
#define KNAPWEEDSTILE_HARNESS_SEED_RANGE_H_

#include <cstdint>

namespace knapweedstile::harness {

struct SeedRange {
  uint64_t first = 0;
  uint64_t last = 0;
};

// The range that the environment variable names, as FIRST..LAST, or `usual` if
// it is not set. Throws std::exception if it has another form.
SeedRange SeedsFrom(const char* variable, SeedRange usual);

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_SEED_RANGE_H_
