#include "peers/reader_choice.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::gateway {

std::vector<std::string> ChooseReaders(
    std::vector<std::string> gateways, size_t max_readers,
    const std::function<double(const std::string&)>& cores) {
  double strongest = 0;
  std::vector<double> own_cores;
  own_cores.reserve(gateways.size());
  for (const std::string& gateway : gateways) {
    own_cores.push_back(cores(gateway));
    strongest = std::max(strongest, own_cores.back());
  }
  // Orders by hash, since the largest and smallest VMs of a deployment tend to
  // have consecutive names.
  std::vector<std::tuple<bool, uint64_t, size_t>> candidates;
  candidates.reserve(gateways.size());
  for (size_t i = 0; i < gateways.size(); ++i) {
    candidates.emplace_back(2 * own_cores[i] < strongest, Hash64(gateways[i]),
                            i);
  }
  const size_t count = std::min(max_readers, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<ptrdiff_t>(count),
                    candidates.end());
  std::vector<std::string> readers;
  for (size_t i = 0; i < count; ++i) {
    readers.push_back(std::move(gateways[std::get<2>(candidates[i])]));
  }
  return readers;
}

}  // namespace knapweedstile::gateway
