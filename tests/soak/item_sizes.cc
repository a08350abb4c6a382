#include "item_sizes.h"

#include <fmt/format.h>

#include <charconv>

#include "batch_limits.h"
#include "soak_site.h"

namespace knapweedstile::soak {
namespace {

// Sizes are spread evenly over the powers of two up to these.
constexpr uint64_t kBodyPowers = 15;
constexpr uint64_t kPaddingPowers = 9;
// One in kItemsPerLargeOutput outputs has a size between these, as it is
// encoded in JSON.
constexpr uint64_t kItemsPerLargeOutput = 64;
constexpr size_t kMinLargeOutput = 1100000;
constexpr size_t kMaxLargeOutput = 2000000;
// Doubles its length when it is encoded.
constexpr char kEscapedPad = '"';

size_t DrawBelowPower(Rng& rng, uint64_t powers) {
  return UniformBelow(rng, uint64_t{1} << UniformBelow(rng, powers + 1));
}

}  // namespace

ItemSizes DrawItemSizes(Rng& rng) {
  ItemSizes sizes{.body = DrawBelowPower(rng, kBodyPowers),
                  .event_padding = DrawBelowPower(rng, kPaddingPowers)};
  if (UniformBelow(rng, kItemsPerLargeOutput) != 0) return sizes;
  const size_t encoded =
      kMinLargeOutput +
      UniformBelow(rng, kMaxLargeOutput - kMinLargeOutput + 1);
  sizes.event_padding = encoded / SoakSite::kEvents;
  if (UniformBelow(rng, 2) == 0) {
    sizes.pad = kEscapedPad;
    sizes.event_padding /= 2;
  }
  return sizes;
}

std::string BodyOf(const ItemSizes& sizes) {
  return fmt::format("{} {}{} {}", BodyOf(ItemKind::kNormal), sizes.pad,
                     sizes.event_padding, std::string(sizes.body, '.'));
}

std::string EventPadding(const ItemSizes& sizes) {
  return std::string(sizes.event_padding, sizes.pad);
}

std::string EventPaddingFor(std::string_view body) {
  const std::string& start = BodyOf(ItemKind::kNormal);
  if (!body.starts_with(start + ' ')) return {};
  ItemSizes sizes{.pad = body[start.size() + 1]};
  const char* digits = body.data() + start.size() + 2;
  std::from_chars(digits, body.data() + body.size(), sizes.event_padding);
  return EventPadding(sizes);
}

}  // namespace knapweedstile::soak
