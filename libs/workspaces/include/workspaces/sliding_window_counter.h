#ifndef KNAPWEEDSTILE_WORKSPACES_SLIDING_WINDOW_COUNTER_H_
#define KNAPWEEDSTILE_WORKSPACES_SLIDING_WINDOW_COUNTER_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::workspaces {

// Counts the requests admitted in a span of time that ends now, up to a longest
// span, in buckets of a fiftieth of that. A count includes the current bucket
// and each one that the span touches, so it never covers less than the span.
class SlidingWindowCounter {
 public:
  explicit SlidingWindowCounter(Duration longest)
      : bucket_length_(longest / kBucketsPerLongestSpan) {}

  void Add(TimePoint now);
  // Removes one request that was admitted at `added_at`.
  void Remove(TimePoint added_at, TimePoint now);

  // `span` is at most the longest span.
  uint32_t CountIn(Duration span, TimePoint now) const;

 private:
  static constexpr int64_t kBucketsPerLongestSpan = 50;
  static constexpr int64_t kBuckets = kBucketsPerLongestSpan + 1;

  int64_t BucketOf(TimePoint at) const noexcept {
    return at.time_since_epoch() / bucket_length_;
  }
  void Advance(int64_t bucket);

  Duration bucket_length_;
  std::array<uint16_t, kBuckets> counts_{};  // by bucket number modulo kBuckets
  int64_t newest_bucket_ = 0;                // bucket number
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_SLIDING_WINDOW_COUNTER_H_
