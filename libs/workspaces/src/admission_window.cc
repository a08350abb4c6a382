#include "workspaces/admission_window.h"

#include <algorithm>
#include <limits>

namespace knapweedstile::workspaces {

void AdmissionWindow::Advance(int64_t slot) {
  if (slot <= newest_) return;
  const int64_t first_new = std::max(newest_ + 1, slot - kSlots + 1);
  for (int64_t at = first_new; at <= slot; ++at) counts_[at % kSlots] = 0;
  newest_ = slot;
}

void AdmissionWindow::Add(TimePoint now) {
  Advance(SlotOf(now));
  uint16_t& count = counts_[newest_ % kSlots];
  if (count < std::numeric_limits<uint16_t>::max()) ++count;
}

void AdmissionWindow::Remove(TimePoint admitted_at, TimePoint now) {
  Advance(SlotOf(now));
  const int64_t slot = SlotOf(admitted_at);
  if (slot <= newest_ - kSlots) return;
  uint16_t& count = counts_[slot % kSlots];
  if (count > 0) --count;
}

uint32_t AdmissionWindow::CountIn(Duration span, TimePoint now) const {
  const int64_t last = SlotOf(now);
  const int64_t oldest_kept = newest_ - kSlots + 1;
  const int64_t first = std::max(SlotOf(now - span), oldest_kept);
  uint32_t count = 0;
  for (int64_t at = std::max<int64_t>(first, 0); at <= std::min(last, newest_);
       ++at) {
    count += counts_[at % kSlots];
  }
  return count;
}

}  // namespace knapweedstile::workspaces
