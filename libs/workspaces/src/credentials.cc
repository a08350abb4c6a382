#include "workspaces/credentials.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <string_view>

namespace knapweedstile::workspaces {
namespace {

constexpr std::string_view kFieldName = "Authorization";
constexpr std::string_view kScheme = "Bearer ";
constexpr size_t kMaxKeyBytes = 4096;

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool IsVisible(char c) { return c > ' ' && c <= '~'; }

std::optional<KeyDigest> ParseBearer(std::string_view value) {
  if (!EqualsIgnoringCase(value.substr(0, kScheme.size()), kScheme))
    return std::nullopt;
  std::string_view key = value.substr(kScheme.size());
  while (key.starts_with(' ')) key.remove_prefix(1);
  while (key.ends_with(' ')) key.remove_suffix(1);
  if (key.empty() || key.size() > kMaxKeyBytes) return std::nullopt;
  if (!std::all_of(key.begin(), key.end(), IsVisible)) return std::nullopt;
  return DigestOf(key);
}

}  // namespace

Credentials ReadCredentials(const http::HeaderList& headers) {
  Credentials credentials;
  for (const auto& [name, value] : headers.fields()) {
    if (!EqualsIgnoringCase(name, kFieldName)) continue;
    if (credentials.present) return {.present = true};
    credentials = {.present = true, .key = ParseBearer(value)};
  }
  return credentials;
}

}  // namespace knapweedstile::workspaces
