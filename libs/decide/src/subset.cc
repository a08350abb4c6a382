#include "decide/subset.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "base/hash.h"

namespace knapweedstile::decide {
namespace {

// Entries that know a server at least, so that the loss of one leaves it used.
constexpr size_t kLeastEntries = 2;

uint64_t Weight(uint64_t entry, uint64_t server) {
  uint64_t x = entry ^ (server * 0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 32)) * 0xD6E8FEB86659FD93ULL;
  x = (x ^ (x >> 32)) * 0xD6E8FEB86659FD93ULL;
  return x ^ (x >> 32);
}

// The mean is rarely a whole number: the server's own hash decides whether it
// rounds up, so a small change of the mean moves few servers.
size_t EntriesOf(uint64_t server, double mean) {
  const double unit = static_cast<double>(server >> 11) * 0x1.0p-53;
  return std::max(kLeastEntries, static_cast<size_t>(mean + unit));
}

// Whether `self` is among the `wanted` highest for the server. Stops at the
// wanted-th higher one, so a server costs about wanted * ln(entries / wanted).
bool IsPicked(uint64_t self, uint64_t server,
              const std::vector<uint64_t>& entries, size_t wanted) {
  const uint64_t own = Weight(self, server);
  size_t higher = 0;
  for (const uint64_t entry : entries) {
    if (Weight(entry, server) > own && ++higher >= wanted) return false;
  }
  return true;
}

}  // namespace

std::vector<size_t> SubsetOf(std::string_view self,
                             const std::vector<std::string_view>& entries,
                             const std::vector<std::string_view>& servers,
                             size_t size) {
  std::vector<size_t> subset;
  if (servers.size() <= size) {
    subset.resize(servers.size());
    std::iota(subset.begin(), subset.end(), 0);
    return subset;
  }
  const uint64_t own_hash = Hash64(self);
  std::vector<uint64_t> entry_hashes;
  entry_hashes.reserve(entries.size());
  for (const std::string_view entry : entries) {
    entry_hashes.push_back(Hash64(entry));
  }
  const double mean = static_cast<double>(entries.size() * size) /
                      static_cast<double>(servers.size());
  for (size_t i = 0; i < servers.size(); ++i) {
    const uint64_t server = Hash64(servers[i]);
    if (IsPicked(own_hash, server, entry_hashes, EntriesOf(server, mean))) {
      subset.push_back(i);
    }
  }
  return subset;
}

}  // namespace knapweedstile::decide
