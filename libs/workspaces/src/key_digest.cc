#include "workspaces/key_digest.h"

#include <openssl/sha.h>

namespace knapweedstile::workspaces {
namespace {

constexpr unsigned kBitsPerDigit = 4;

std::optional<uint8_t> ValueOfDigit(char digit) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const size_t value = kDigits.find(digit);
  if (value == std::string_view::npos) return std::nullopt;
  return static_cast<uint8_t>(value);
}

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  KeyDigest digest;
  ::SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
           digest.bytes.data());
  return digest;
}

std::optional<KeyDigest> ParseKeyDigest(std::string_view hex) {
  KeyDigest digest;
  if (hex.size() != 2 * KeyDigest::kBytes) return std::nullopt;
  for (size_t i = 0; i < KeyDigest::kBytes; ++i) {
    const auto high = ValueOfDigit(hex[2 * i]);
    const auto low = ValueOfDigit(hex[2 * i + 1]);
    if (!high || !low) return std::nullopt;
    digest.bytes[i] = static_cast<uint8_t>(*high << kBitsPerDigit | *low);
  }
  return digest;
}

}  // namespace knapweedstile::workspaces
