#ifndef KNAPWEEDSTILE_NODE_BATCH_CALLS_H_
#define KNAPWEEDSTILE_NODE_BATCH_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "api_error.h"
#include "base/id.h"
#include "base/time.h"
#include "caller_identity.h"
#include "http/server_event.h"
#include "jobs/job_cancellation.h"
#include "jobs/job_reader.h"
#include "jobs/job_submission.h"
#include "jobs/submission_settings.h"

namespace knapweedstile::node {

struct EntryPorts;
class PlatformCalls;

// The callers' side of batch jobs: submit, status, results, cancel. Each call
// drives one of the jobs package's modules until it has an outcome; all state
// is in the platform, so any entry answers for any job.
class BatchCalls {
 public:
  // Told of each job that was made durable here, so that its owner may look for
  // it at once.
  using OnSubmitted = std::function<void(TimePoint, const jobs::JobId&)>;

  BatchCalls(EntryPorts& ports, PlatformCalls& platform,
             const jobs::SubmissionSettings& settings, uint64_t seed,
             OnSubmitted on_submitted);

  // Commands. `deadline`: of the answer to the caller.
  void Begin(TimePoint now, http::RequestEvent&& request,
             const CallerIdentity& identity, TimePoint deadline);
  // The caller is gone. A submission goes on: it may be half written, and the
  // caller's resend finds the whole job.
  void Forget(ExchangeId exchange);
  void Tick(TimePoint now);

  // Queries.
  TimePoint NextWake() const;
  size_t size() const noexcept { return calls_.size(); }

 private:
  using Module =
      std::variant<jobs::JobSubmission, jobs::JobCancellation, jobs::JobReader>;
  struct Call {
    ExchangeId exchange;  // none once the caller is gone
    CallerIdentity identity;
    bool results = false;  // of a JobReader: the page, not only the status
    Module module;
  };

  void Submit(TimePoint now, http::RequestEvent&& request,
              const CallerIdentity& identity, TimePoint deadline);
  void Add(TimePoint now, ExchangeId exchange, const CallerIdentity& identity,
           bool results, Module&& module);
  void Pump(TimePoint now, uint64_t id);
  void Answer(TimePoint now, Call& call);
  void AnswerSubmission(TimePoint now, const Call& call,
                        const jobs::JobSubmission& submission);
  void AnswerCancellation(const Call& call,
                          const jobs::JobCancellation& cancellation);
  void AnswerReader(const Call& call, const jobs::JobReader& reader);
  void RespondJson(const Call& call, unsigned status, std::string body);
  void RespondError(ExchangeId exchange, const CallerIdentity& identity,
                    const ApiError& error);

  EntryPorts& ports_;
  PlatformCalls& platform_;
  jobs::SubmissionSettings settings_;
  uint64_t seed_;
  OnSubmitted on_submitted_;
  std::map<uint64_t, Call> calls_;
  uint64_t last_id_ = 0;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_BATCH_CALLS_H_
