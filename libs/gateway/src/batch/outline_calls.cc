#include "batch/outline_calls.h"

#include <utility>

#include "base/clock.h"
#include "batch/job_forwarder.h"
#include "batch/job_records.h"
#include "batch/record_fetcher.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {

OutlineCalls::OutlineCalls(JobForwarder& forwarder, RecordFetcher& fetcher,
                           const serving::JobTable& jobs,
                           observe::Metrics& metrics, Callbacks callbacks)
    : forwarder_(forwarder),
      fetcher_(fetcher),
      jobs_(jobs),
      metrics_(metrics),
      callbacks_(std::move(callbacks)) {}

void OutlineCalls::Serve(const std::shared_ptr<const JobCall>& call,
                         const std::string& job, MissingRecord missing,
                         AnswerHere answer) {
  if (IsInParts(job, missing)) {
    metrics_.Add("knap_outline_calls_total", {"in_parts"});
    return ReadMissing(job, missing, answer);
  }
  if (call->caller.sent_to_holder) {
    return callbacks_.misdirected(call->request.exchange);
  }
  metrics_.Add("knap_outline_calls_total", {"to_holder"});
  CallerIdentity caller = call->caller;
  caller.sent_to_holder = true;
  forwarder_.ForwardTo(
      callbacks_.holders(job), call->request, job, caller,
      [this, job, missing = std::move(missing), answer = std::move(answer)] {
        metrics_.Add("knap_outline_calls_total", {"from_store"});
        ReadMissing(job, missing, answer);
      });
}

bool OutlineCalls::IsInParts(const std::string& job,
                             const MissingRecord& missing) const {
  const serving::BatchJob* known = jobs_.Find(job);
  const auto name = known ? missing(*known) : std::nullopt;
  if (!name) return false;
  const RecordName record = ParseRecordName(*name);
  return record.type == RecordType::kSegment && known->InParts(record.segment);
}

void OutlineCalls::ReadMissing(const std::string& job,
                               const MissingRecord& missing,
                               const AnswerHere& answer) {
  const serving::BatchJob* known = jobs_.Find(job);
  const auto name = known ? missing(*known) : std::nullopt;
  if (!name) return answer(known != nullptr);
  fetcher_.Fetch(*name, MonotonicNow(),
                 [this, job, missing, answer, name = *name](bool read) {
                   const serving::BatchJob* after = jobs_.Find(job);
                   // A record that is still missing after its read would be
                   // read forever.
                   if (read && after && missing(*after) != name) {
                     return ReadMissing(job, missing, answer);
                   }
                   metrics_.Add("knap_outline_calls_total", {"unanswered"});
                   answer(false);
                 });
}

}  // namespace knapweedstile::gateway
