#include "objects/selector.h"

#include <algorithm>

namespace knapweedstile::objects {

namespace {

bool Contains(const std::vector<std::string>& values,
              const std::string& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

bool Matches(const Selector& selector, const Labels& labels) {
  for (const auto& [key, value] : selector.match) {
    const auto label = labels.find(key);
    if (label == labels.end() || label->second != value) return false;
  }
  for (const auto& [key, values] : selector.in) {
    const auto label = labels.find(key);
    if (label == labels.end() || !Contains(values, label->second)) return false;
  }
  for (const auto& [key, values] : selector.not_in) {
    const auto label = labels.find(key);
    if (label != labels.end() && Contains(values, label->second)) return false;
  }
  return std::all_of(
      selector.exists.begin(), selector.exists.end(),
      [&](const std::string& key) { return labels.contains(key); });
}

}  // namespace knapweedstile::objects
