#include "target.h"

#include <algorithm>
#include <charconv>

namespace knapweedstile::standins {
namespace {

std::string Decode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const char* digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
      out.push_back(static_cast<char>(value));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

// Calls `visit` with each part of `text` between separators.
template <typename Visit>
void Split(std::string_view text, char separator, Visit visit) {
  while (!text.empty()) {
    const size_t end = std::min(text.find(separator), text.size());
    if (end > 0) visit(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

}  // namespace

uint64_t Target::NumberOr(const std::string& key, uint64_t absent) const {
  const auto found = query.find(key);
  if (found == query.end()) return absent;
  uint64_t value = 0;
  const std::string& text = found->second;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() ? value : absent;
}

std::string Target::TextOr(const std::string& key,
                           const std::string& absent) const {
  const auto found = query.find(key);
  return found == query.end() ? absent : found->second;
}

Target ParseTarget(std::string_view text) {
  Target target;
  const size_t mark = std::min(text.find('?'), text.size());
  target.path = text.substr(0, mark);
  Split(target.path, '/', [&](std::string_view part) {
    target.segments.push_back(Decode(part));
  });
  Split(text.substr(std::min(mark + 1, text.size())), '&',
        [&](std::string_view pair) {
          const size_t equals = std::min(pair.find('='), pair.size());
          target.query[Decode(pair.substr(0, equals))] =
              Decode(pair.substr(std::min(equals + 1, pair.size())));
        });
  return target;
}

}  // namespace knapweedstile::standins
