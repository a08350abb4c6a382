#include "base/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace knapweedstile {

uint64_t Hash64(std::string_view text, uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t HashCombine(uint64_t a, uint64_t b) noexcept {
  const uint64_t pair[2] = {a, b};
  return XXH3_64bits(pair, sizeof(pair));
}

std::string ToHex(uint64_t value) { return fmt::format("{:016x}", value); }

}  // namespace knapweedstile
