#ifndef KNAPWEEDSTILE_WORKSPACES_KEY_DIGEST_H_
#define KNAPWEEDSTILE_WORKSPACES_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace knapweedstile::workspaces {

// The SHA-256 of an API key. The key itself is never stored.
//
// Guards against timing attacks: comparing keys up to the first byte that
// differs reveals how much of a guess was right. The digest of a guess reveals
// nothing about the key, so an ordinary look-up by digest is safe.
struct KeyDigest {
  static constexpr size_t kBytes = 32;
  std::array<uint8_t, kBytes> bytes{};

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const KeyDigest&) const noexcept = default;
};

KeyDigest DigestOf(std::string_view key);
// Parses 64 lower-case hexadecimal digits; no value if `hex` is anything else.
std::optional<KeyDigest> ParseKeyDigest(std::string_view hex);

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_KEY_DIGEST_H_
