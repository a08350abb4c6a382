#include "jobs/item_set.h"

#include <algorithm>
#include <bit>

namespace knapweedstile::jobs {

namespace {

constexpr uint32_t kWordBits = 64;

constexpr uint64_t BitOf(uint32_t index) noexcept {
  return uint64_t{1} << (index % kWordBits);
}

}  // namespace

ItemSet::ItemSet(uint32_t capacity)
    : words_((capacity + kWordBits - 1) / kWordBits), capacity_(capacity) {}

void ItemSet::Insert(uint32_t index) {
  if (index >= capacity_ || Contains(index)) return;
  words_[index / kWordBits] |= BitOf(index);
  ++size_;
}

void ItemSet::Erase(uint32_t index) {
  if (!Contains(index)) return;
  words_[index / kWordBits] &= ~BitOf(index);
  --size_;
}

void ItemSet::InsertRange(const Range& range) {
  for (uint64_t i = range.first; i <= range.second && i < capacity_; ++i) {
    Insert(static_cast<uint32_t>(i));
  }
}

bool ItemSet::Contains(uint32_t index) const noexcept {
  return index < capacity_ && (words_[index / kWordBits] & BitOf(index)) != 0;
}

uint32_t ItemSet::FirstAbsent(uint32_t from) const noexcept {
  uint32_t index = from;
  while (index < capacity_) {
    const uint64_t absent = ~words_[index / kWordBits] >> (index % kWordBits);
    if (absent != 0) {
      return std::min(capacity_, index + std::countr_zero(absent));
    }
    index = (index / kWordBits + 1) * kWordBits;
  }
  return capacity_;
}

std::vector<ItemSet::Range> ItemSet::Ranges() const {
  std::vector<Range> ranges;
  uint32_t index = 0;
  while (index < capacity_) {
    if (!Contains(index)) {
      // Whole empty words are passed over at once.
      const bool empty = words_[index / kWordBits] == 0;
      index = empty ? (index / kWordBits + 1) * kWordBits : index + 1;
      continue;
    }
    const uint32_t end = FirstAbsent(index);
    ranges.emplace_back(index, end - 1);
    index = end;
  }
  return ranges;
}

}  // namespace knapweedstile::jobs
