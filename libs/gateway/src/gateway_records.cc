#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "batch/job_records.h"
#include "gateway.h"

// The gateway's records in the store: jobs, results and ends of jobs.
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

// Guards against a gateway that crashes, restarts within a second and resumes
// its jobs, but restarts their items from the beginning because their progress
// is only in its peers' memory. Peers resend it when they detect the new
// process.
void Gateway::OnPeerStarted(const std::string& gateway) {
  jobs_.RepublishProgress(gateway);
  progress_sent_at_ = TimePoint{};
}

}  // namespace knapweedstile::gateway
