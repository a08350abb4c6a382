#ifndef KNAPWEEDSTILE_SERVING_STREAM_ORIGINS_H_
#define KNAPWEEDSTILE_SERVING_STREAM_ORIGINS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "serving/stream_origin.h"

namespace knapweedstile::serving {

// Origins of recent streams, by hash of the id of the request that brought the
// first event. Pure logic: no I/O, no clock, no threads; the caller passes the
// time.
class StreamOrigins {
 public:
  // Longer than a caller keeps trying to complete one stream.
  static constexpr std::chrono::seconds kLifetime{60};

  // The first origin of a stream stays.
  void Add(uint64_t stream, const StreamOrigin& origin, TimePoint now);
  void Expire(TimePoint now);

  // Null if the stream is not known.
  const StreamOrigin* Find(uint64_t stream) const;
  size_t size() const noexcept { return origins_.size(); }

 private:
  std::unordered_map<uint64_t, StreamOrigin> origins_;
  std::deque<std::pair<TimePoint, uint64_t>> expiries_;  // in order of time
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_STREAM_ORIGINS_H_
