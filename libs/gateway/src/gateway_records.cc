#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "batch/job_records.h"
#include "gateway.h"

// The gateway's records in the store: jobs, results and ends.
namespace knapweedstile::gateway {

uint64_t Gateway::PushRecord(const OwnRecord& record) {
  push_.Push(record, peers_.LiveAddresses());
  return push_.count();
}

void Gateway::OnRecordsHeard() {
  if (!writer_.awaits_others()) return;
  writer_.OnHeard(push_.HeardBy(peers_.LiveAddresses()), MonotonicNow());
}

// Failure guarded against: an entry that crashes is back within a second and
// goes on with its own jobs, but how far their items had come stands in other
// entries' memory; it begins them anew and makes them late. Those others tell
// it as soon as they hear of its new process.
void Gateway::OnPeerStarted(const std::string& entry) {
  book_.RepublishProgress(entry);
  shared_progress_at_ = TimePoint{};
}

}  // namespace knapweedstile::gateway
