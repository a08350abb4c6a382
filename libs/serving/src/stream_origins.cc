#include "serving/stream_origins.h"

namespace knapweedstile::serving {

void StreamOrigins::Add(uint64_t stream, const StreamOrigin& origin,
                        TimePoint now) {
  const bool is_new = origins_.try_emplace(stream, origin).second;
  if (is_new) expiries_.emplace_back(now + kLifetime, stream);
}

void StreamOrigins::Expire(TimePoint now) {
  while (!expiries_.empty() && expiries_.front().first <= now) {
    origins_.erase(expiries_.front().second);
    expiries_.pop_front();
  }
}

const StreamOrigin* StreamOrigins::Find(uint64_t stream) const {
  const auto found = origins_.find(stream);
  return found == origins_.end() ? nullptr : &found->second;
}

}  // namespace knapweedstile::serving
