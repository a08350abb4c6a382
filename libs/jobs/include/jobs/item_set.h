#ifndef KNAPWEEDSTILE_JOBS_ITEM_SET_H_
#define KNAPWEEDSTILE_JOBS_ITEM_SET_H_

#include <cstdint>
#include <utility>
#include <vector>

namespace knapweedstile::jobs {

// A set of item indexes as a bitmap, 1 bit an item, stored as ranges: items
// finish nearly in order, so the ranges are about as many as the items that are
// outstanding.
class ItemSet {
 public:
  using Range = std::pair<uint32_t, uint32_t>;  // first and last

  ItemSet() = default;
  explicit ItemSet(uint32_t capacity);

  // Indexes beyond the capacity are ignored.
  void Insert(uint32_t index);
  void Erase(uint32_t index);
  void InsertRange(const Range& range);

  bool Contains(uint32_t index) const noexcept;
  uint32_t size() const noexcept { return size_; }
  uint32_t capacity() const noexcept { return capacity_; }
  // The lowest index from `from` that is not in the set; the capacity when all
  // are.
  uint32_t FirstAbsent(uint32_t from) const noexcept;
  std::vector<Range> Ranges() const;

  bool operator==(const ItemSet&) const = default;

 private:
  std::vector<uint64_t> words_;
  uint32_t capacity_ = 0;
  uint32_t size_ = 0;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_ITEM_SET_H_
