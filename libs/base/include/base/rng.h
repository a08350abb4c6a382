#ifndef KNAPWEEDSTILE_BASE_RNG_H_
#define KNAPWEEDSTILE_BASE_RNG_H_

#include <cstdint>
#include <random>

namespace knapweedstile {

// Random number generator of the decision modules. The caller always provides
// the seed, so that a run can be reproduced.
using Rng = std::mt19937_64;

// Uniform in [0, bound); bound must be positive. Same result on every standard
// library, unlike std::uniform_int_distribution.
inline uint64_t UniformBelow(Rng& rng, uint64_t bound) noexcept {
  return static_cast<uint64_t>(
      (static_cast<unsigned __int128>(rng()) * bound) >> 64);
}

// Uniform in [0, 1).
inline double UniformUnit(Rng& rng) noexcept {
  return static_cast<double>(rng() >> 11) * 0x1.0p-53;
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_RNG_H_
