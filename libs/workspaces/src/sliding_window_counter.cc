#include "workspaces/sliding_window_counter.h"

#include <algorithm>
#include <limits>

namespace knapweedstile::workspaces {

void SlidingWindowCounter::Advance(int64_t bucket) {
  if (bucket <= newest_bucket_) return;
  const int64_t first_new = std::max(newest_bucket_ + 1, bucket - kBuckets + 1);
  for (int64_t i = first_new; i <= bucket; ++i) counts_[i % kBuckets] = 0;
  newest_bucket_ = bucket;
}

void SlidingWindowCounter::Add(TimePoint now) {
  Advance(BucketOf(now));
  uint16_t& count = counts_[newest_bucket_ % kBuckets];
  if (count < std::numeric_limits<uint16_t>::max()) ++count;
}

void SlidingWindowCounter::Remove(TimePoint added_at, TimePoint now) {
  Advance(BucketOf(now));
  const int64_t bucket = BucketOf(added_at);
  if (bucket <= newest_bucket_ - kBuckets) return;
  uint16_t& count = counts_[bucket % kBuckets];
  if (count > 0) --count;
}

uint32_t SlidingWindowCounter::CountIn(Duration span, TimePoint now) const {
  const int64_t last = BucketOf(now);
  const int64_t oldest_kept = newest_bucket_ - kBuckets + 1;
  const int64_t first = std::max(BucketOf(now - span), oldest_kept);
  uint32_t count = 0;
  for (int64_t i = std::max<int64_t>(first, 0);
       i <= std::min(last, newest_bucket_); ++i) {
    count += counts_[i % kBuckets];
  }
  return count;
}

}  // namespace knapweedstile::workspaces
