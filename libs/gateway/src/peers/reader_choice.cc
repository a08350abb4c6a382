#include "peers/reader_choice.h"

#include <algorithm>

#include "base/hash.h"

namespace knapweedstile::gateway {

std::vector<std::string> ChooseReaders(std::vector<std::string> entries) {
  // By hash: the names of a deployment's largest and smallest VMs follow each
  // other.
  std::sort(entries.begin(), entries.end(),
            [](const std::string& a, const std::string& b) {
              return Hash64(a) < Hash64(b);
            });
  if (entries.size() > kReadersPerCell) entries.resize(kReadersPerCell);
  return entries;
}

}  // namespace knapweedstile::gateway
