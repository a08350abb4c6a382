#ifndef KNAPWEEDSTILE_SOAK_BATCH_RECORD_H_
#define KNAPWEEDSTILE_SOAK_BATCH_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "item_sizes.h"

namespace knapweedstile::soak {

enum class ItemKind : uint8_t {
  kNormal,
  kUnprocessable,  // every run gets status 422
  kFailing,        // every run gets status 500
};

struct ItemRecord {
  std::string id;
  ItemKind kind = ItemKind::kNormal;
  ItemSizes sizes;  // of an item that can be done
};

// A result as a caller first read it.
struct ReadResult {
  std::string item;
  std::string state;
  std::string output;
  TimePoint read_at{};
};

// A batch job as its caller sees it.
struct BatchRecord {
  std::string id;
  std::vector<ItemRecord> items;
  std::string shared_parts;  // of the prompts of all items
  uint64_t tokens = 0;
  TimePoint first_sent_at{};
  TimePoint accepted_at = kNever;  // first response with status 202
  bool maybe_accepted = false;     // an attempt ended without a clear rejection
  bool given_up = false;           // its caller no longer retries it
  TimePoint end_requested_at = kNever;
  TimePoint ended_at = kNever;           // the end was acknowledged
  std::map<size_t, ReadResult> results;  // by position

  bool accepted() const noexcept { return accepted_at != kNever; }
  bool end_requested() const noexcept { return end_requested_at != kNever; }
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_BATCH_RECORD_H_
