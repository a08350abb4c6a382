#include "cluster/stream_keepers.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::cluster {
namespace {

// The members with the highest scores.
class HighestScores {
 public:
  void Offer(uint64_t score, const Member& member) {
    Entry entry{score, &member};
    for (Entry& kept : entries_) {
      if (!kept.second || entry.first > kept.first) std::swap(kept, entry);
      if (!entry.second) return;
    }
  }
  void AppendTo(std::vector<std::string>& addresses) const {
    for (const auto& [score, member] : entries_) {
      if (member) addresses.push_back(member->address);
    }
  }

 private:
  using Entry = std::pair<uint64_t, const Member*>;
  std::array<Entry, 2> entries_{};
};

}  // namespace

std::vector<std::string> StreamKeepers(uint64_t stream, const Members& members,
                                       const std::string& self) {
  const auto own = members.find(self);
  const std::string zone =
      own == members.end() ? std::string() : own->second.availability_zone;
  HighestScores in_zone;
  HighestScores elsewhere;
  for (const auto& [name, member] : members) {
    if (name == self) continue;
    const bool same = member.availability_zone == zone;
    (same ? in_zone : elsewhere).Offer(Hash64(name, stream), member);
  }
  std::vector<std::string> addresses;
  in_zone.AppendTo(addresses);
  elsewhere.AppendTo(addresses);
  return addresses;
}

}  // namespace knapweedstile::cluster
