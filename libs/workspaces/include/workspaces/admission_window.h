#ifndef KNAPWEEDSTILE_WORKSPACES_ADMISSION_WINDOW_H_
#define KNAPWEEDSTILE_WORKSPACES_ADMISSION_WINDOW_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::workspaces {

// How many requests were admitted in spans that end now, up to a longest one of
// which a slot is a fiftieth. A span counts the slot that has begun and all
// that it touches, so it is never shorter than what was asked for.
class AdmissionWindow {
 public:
  explicit AdmissionWindow(Duration longest)
      : bucket_length_(longest / kBucketsPerLongestSpan) {}

  void Add(TimePoint now);
  // Takes back one that was admitted at `admitted_at`.
  void Remove(TimePoint admitted_at, TimePoint now);

  uint32_t CountIn(Duration span, TimePoint now) const;

 private:
  static constexpr int64_t kBucketsPerLongestSpan = 50;
  static constexpr int64_t kBuckets = kBucketsPerLongestSpan + 1;

  int64_t BucketOf(TimePoint at) const noexcept {
    return at.time_since_epoch() / bucket_length_;
  }
  void Advance(int64_t slot);

  Duration bucket_length_;
  std::array<uint16_t, kBuckets> counts_{};  // by slot number modulo kSlots
  int64_t newest_bucket_ = 0;                // slot number
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_ADMISSION_WINDOW_H_
