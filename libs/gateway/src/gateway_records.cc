#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "batch/job_records.h"
#include "gateway.h"

// The gateway's records in the store: jobs, results and ends.
namespace knapweedstile::gateway {

uint64_t Gateway::PushRecord(const StoreRecord& record) {
  record_push_.Push(record, peers_.LiveAddresses());
  return record_push_.count();
}

void Gateway::OnRecordsAcknowledged() {
  if (!writer_.awaits_acknowledgement()) return;
  writer_.OnAcknowledged(record_push_.AcknowledgedBy(peers_.LiveAddresses()),
                         MonotonicNow());
}

// Failure guarded against: an entry that crashes is back within a second and
// goes on with its own jobs, but how far their items had come stands in other
// entries' memory; it begins them anew and makes them late. Those others tell
// it as soon as they hear of its new process.
void Gateway::OnPeerStarted(const std::string& entry) {
  jobs_.RepublishProgress(entry);
  progress_sent_at_ = TimePoint{};
}

}  // namespace knapweedstile::gateway
