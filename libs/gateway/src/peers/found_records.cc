#include "peers/found_records.h"

#include <utility>

namespace knapweedstile::gateway {
namespace {

// The writer of a record pushes it when the store has responded, which takes a
// quarter of a second while the store is slow. A reader who was shown the
// record here may ask a peer for it a second later.
constexpr std::chrono::milliseconds kPushDelay{250};
// Many records at once are those of a writer that this gateway cannot hear,
// which pushes them to the others itself.
constexpr size_t kMaxRecords = 64;

}  // namespace

void FoundRecords::OnFound(StoreRecord&& record, TimePoint now) {
  if (records_.size() >= kMaxRecords) return;
  records_.try_emplace(std::move(record.name),
                       Found{now + kPushDelay, std::move(record.value)});
}

std::vector<StoreRecord> FoundRecords::TakeDue(TimePoint now) {
  std::vector<StoreRecord> due;
  for (auto at = records_.begin(); at != records_.end();) {
    if (at->second.push_at > now) {
      ++at;
      continue;
    }
    due.push_back({at->first, std::move(at->second.value)});
    at = records_.erase(at);
  }
  return due;
}

}  // namespace knapweedstile::gateway
