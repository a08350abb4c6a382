#ifndef KNAPWEEDSTILE_WORKSPACES_SLIDING_WINDOW_COUNTER_H_
#define KNAPWEEDSTILE_WORKSPACES_SLIDING_WINDOW_COUNTER_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::workspaces {

// Sliding-window counter: the number of requests within any span of time that
// ends now and is at most `longest`. Time is divided into buckets of `longest`
// / 50. A bucket that the span covers only in part is counted in full, so a
// count never covers less than the span.
class SlidingWindowCounter {
 public:
  explicit SlidingWindowCounter(Duration longest)
      : bucket_length_(longest / kBucketsPerLongestSpan) {}

  void Add(TimePoint now);
  // Removes one request that was added at `added_at`.
  void Remove(TimePoint added_at, TimePoint now);

  // `span` is at most `longest`.
  uint32_t CountIn(Duration span, TimePoint now) const;

 private:
  static constexpr int64_t kBucketsPerLongestSpan = 50;
  // One more, because a span that does not start at a bucket boundary touches
  // one more bucket.
  static constexpr int64_t kBuckets = kBucketsPerLongestSpan + 1;

  int64_t BucketOf(TimePoint at) const noexcept {
    return at.time_since_epoch() / bucket_length_;
  }
  void Advance(int64_t bucket);

  Duration bucket_length_;
  // By bucket number modulo kBuckets; each count stops at the maximum of its
  // type.
  std::array<uint16_t, kBuckets> counts_{};
  // In units of `bucket_length_` since the clock's epoch.
  int64_t newest_bucket_ = 0;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_SLIDING_WINDOW_COUNTER_H_
