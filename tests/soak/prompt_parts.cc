#include "prompt_parts.h"

#include <fmt/format.h>

#include <bit>

#include "base/hash.h"

namespace knapweedstile::soak {
namespace {

constexpr uint64_t kMaxSharedParts = 3;
// One in 2^kRarestPart prompts has the rarest part at a given place.
constexpr int kRarestPart = 7;

}  // namespace

std::string DrawSharedParts(Rng& rng) {
  std::string parts;
  const uint64_t count = UniformBelow(rng, kMaxSharedParts + 1);
  for (uint64_t place = 0; place < count; ++place) {
    const int rarity = std::countr_zero(rng() | (uint64_t{1} << kRarestPart));
    parts += fmt::format("{:x}{:x}:100,", 0xa0 + place, rarity);
  }
  return parts;
}

std::string PartOf(std::string_view owner) {
  return fmt::format("{:x}:50", Hash64(owner));
}

}  // namespace knapweedstile::soak
