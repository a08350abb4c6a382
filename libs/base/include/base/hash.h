#ifndef KNAPWEEDSTILE_BASE_HASH_H_
#define KNAPWEEDSTILE_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile {

// Stable 64-bit hash (XXH3): equal in every process and release, so that all
// nodes agree on rendezvous hashing, fingerprints and job ids.
uint64_t Hash64(std::string_view text, uint64_t seed = 0) noexcept;

// Combines two hashes; not commutative.
uint64_t HashCombine(uint64_t a, uint64_t b) noexcept;

// Formats `value` as 16 lower-case hexadecimal digits.
std::string HexOf(uint64_t value);

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_HASH_H_
