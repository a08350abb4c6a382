#include "base/json_split.h"

#include <algorithm>
#include <cstddef>

namespace knapweedstile {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

// Reads a document from its start.
class JsonScanner {
 public:
  explicit JsonScanner(std::string_view document) : text_(document) {}

  // Skips white space, then `c` if it follows; returns whether it did.
  bool Skip(char c) {
    SkipWhitespace();
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  bool AtEnd() {
    SkipWhitespace();
    return at_ == text_.size();
  }
  // The text of a string with its quotes, or of any value; nullopt if it is
  // missing or does not end.
  std::optional<std::string_view> ReadString() {
    SkipWhitespace();
    const size_t begin = at_;
    if (at_ >= text_.size() || text_[at_] != '"' || !SkipString())
      return std::nullopt;
    return text_.substr(begin, at_ - begin);
  }
  std::optional<std::string_view> ReadValue() {
    SkipWhitespace();
    const size_t begin = at_;
    size_t depth = 0;
    while (at_ < text_.size()) {
      const char c = text_[at_];
      const bool closes = c == ']' || c == '}';
      if (depth == 0 && (closes || c == ',')) break;
      if (c == '"') {
        if (!SkipString()) return std::nullopt;
        continue;
      }
      if (c == '[' || c == '{') ++depth;
      if (closes) --depth;
      ++at_;
    }
    std::string_view value = text_.substr(begin, at_ - begin);
    const size_t last = value.find_last_not_of(kWhitespace);
    if (depth != 0 || last == std::string_view::npos) return std::nullopt;
    return value.substr(0, last + 1);
  }

 private:
  void SkipWhitespace() {
    at_ = std::min(text_.find_first_not_of(kWhitespace, at_), text_.size());
  }
  // From the opening quote past the closing one.
  bool SkipString() {
    for (++at_; at_ < text_.size(); ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
      } else if (text_[at_] == '"') {
        ++at_;
        return true;
      }
    }
    return false;
  }

  std::string_view text_;
  size_t at_ = 0;
};

}  // namespace

std::optional<std::vector<JsonMember>> SplitJsonObject(
    std::string_view document) {
  JsonScanner scanner(document);
  if (!scanner.Skip('{')) return std::nullopt;
  std::vector<JsonMember> members;
  bool closed = scanner.Skip('}');
  while (!closed) {
    const auto quoted = scanner.ReadString();
    if (!quoted || !scanner.Skip(':')) return std::nullopt;
    const auto value = scanner.ReadValue();
    if (!value) return std::nullopt;
    members.push_back({quoted->substr(1, quoted->size() - 2), *value});
    closed = scanner.Skip('}');
    if (!closed && !scanner.Skip(',')) return std::nullopt;
  }
  if (!scanner.AtEnd()) return std::nullopt;
  return members;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view document) {
  JsonScanner scanner(document);
  if (!scanner.Skip('[')) return std::nullopt;
  std::vector<std::string_view> elements;
  bool closed = scanner.Skip(']');
  while (!closed) {
    const auto value = scanner.ReadValue();
    if (!value) return std::nullopt;
    elements.push_back(*value);
    closed = scanner.Skip(']');
    if (!closed && !scanner.Skip(',')) return std::nullopt;
  }
  if (!scanner.AtEnd()) return std::nullopt;
  return elements;
}

}  // namespace knapweedstile
