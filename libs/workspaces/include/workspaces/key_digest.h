#ifndef KNAPWEEDSTILE_WORKSPACES_KEY_DIGEST_H_
#define KNAPWEEDSTILE_WORKSPACES_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace knapweedstile::workspaces {

// The SHA-256 of an API key, which is all that is ever kept of one.
//
// Failure guarded against: a comparison of keys that ends at the first byte
// that differs tells a caller by its time how much of a guess was right. The
// digest of a guess says nothing of how near it is, so that an ordinary look-up
// by digest tells nothing.
struct KeyDigest {
  static constexpr size_t kBytes = 32;
  std::array<uint8_t, kBytes> bytes{};

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const KeyDigest&) const noexcept = default;
};

KeyDigest DigestOf(std::string_view key);
// From 64 lower-case hexadecimal digits; nothing when it is not that.
std::optional<KeyDigest> ParseKeyDigest(std::string_view hex);

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_KEY_DIGEST_H_
