#include "router_prefixes.h"

#include <algorithm>

namespace knapweedstile::decide {
namespace {

// Prefixes remembered for one target: about 0.5 MB. Engines cache far fewer, so
// a forgotten prefix is no longer cached either.
constexpr size_t kMostPrefixes = 4096;
// Homes of one prefix; a hotter one goes by load alone beyond that.
constexpr size_t kMostHomes = 16;

}  // namespace

std::span<const BackendServerId> RouterPrefixes::HomesOf(
    uint64_t prefix) const {
  const auto found = entries_.find(prefix);
  if (found == entries_.end()) return {};
  return found->second.homes;
}

void RouterPrefixes::Note(std::span<const uint64_t> prefixes,
                          BackendServerId server) {
  for (const uint64_t prefix : prefixes) {
    const auto [found, added] = entries_.try_emplace(prefix);
    Entry& entry = found->second;
    if (added) {
      newest_first_.push_front(prefix);
      entry.place = newest_first_.begin();
    } else {
      newest_first_.splice(newest_first_.begin(), newest_first_, entry.place);
    }
    const auto known =
        std::find(entry.homes.begin(), entry.homes.end(), server);
    if (known != entry.homes.end()) continue;
    if (entry.homes.size() < kMostHomes) entry.homes.push_back(server);
  }
  while (entries_.size() > kMostPrefixes) {
    entries_.erase(newest_first_.back());
    newest_first_.pop_back();
  }
}

}  // namespace knapweedstile::decide
