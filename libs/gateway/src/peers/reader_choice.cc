#include "peers/reader_choice.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::gateway {

std::vector<std::string> ChooseReaders(
    std::vector<std::string> gateways, size_t max_readers,
    const std::function<double(const std::string&)>& cores) {
  double strongest = 0;
  for (const std::string& gateway : gateways) {
    strongest = std::max(strongest, cores(gateway));
  }
  const auto rank = [&](const std::string& gateway) {
    return std::pair(2 * cores(gateway) < strongest, Hash64(gateway));
  };
  // Orders by hash, since the largest and smallest VMs of a deployment tend to
  // have consecutive names.
  std::sort(gateways.begin(), gateways.end(),
            [&rank](const std::string& a, const std::string& b) {
              return rank(a) < rank(b);
            });
  if (gateways.size() > max_readers) gateways.resize(max_readers);
  return gateways;
}

}  // namespace knapweedstile::gateway
