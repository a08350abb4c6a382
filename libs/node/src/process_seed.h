#ifndef KNAPWEEDSTILE_NODE_PROCESS_SEED_H_
#define KNAPWEEDSTILE_NODE_PROCESS_SEED_H_

#include <cstdint>
#include <random>

namespace knapweedstile::node {

// Differs for each start of a process; also its incarnation.
inline uint64_t ProcessSeed() {
  std::random_device device;
  constexpr int kWordBits = 32;
  const uint64_t high = device();
  return (high << kWordBits | device()) | 1;
}

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_PROCESS_SEED_H_
