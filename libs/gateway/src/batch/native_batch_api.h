#ifndef KNAPWEEDSTILE_GATEWAY_NATIVE_BATCH_API_H_
#define KNAPWEEDSTILE_GATEWAY_NATIVE_BATCH_API_H_

#include <functional>
#include <string>
#include <string_view>

#include "batch/job_writer.h"
#include "batch/outline_calls.h"
#include "callers/caller_identity.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "serving/batch_job.h"
#include "serving/job_table.h"
#include "serving/route_table.h"

namespace knapweedstile::gateway {

// The product's native batch job API (docs/design/protocols.md):
//
//   POST /v1/batches                 JSON lines, one item each
//   GET  /v1/batches/ID              its status
//   GET  /v1/batches/ID/results      JSON lines, from ?after=N on
//   POST /v1/batches/ID/cancel
//
// Jobs are shared with the API in the platform's format (BatchApi): both use
// the same job table and writer.
class NativeBatchApi {
 public:
  struct Callbacks {
    std::function<void(http::ServerCommand&&)> to_caller;
    // Whether this gateway has all records that exist.
    std::function<bool()> has_all_records;
    // Whether the caller's workspace may use the model that the item requests.
    std::function<bool(std::string_view body, const CallerIdentity& caller)>
        may_use_model;
    // Answers a read that needs outputs of a job known in outline only.
    OutlineCalls::Function serve_from_holder;
  };

  NativeBatchApi(const serving::RouteTable& routes,
                 const serving::JobTable& jobs, JobWriter& writer,
                 std::string own_name, Callbacks callbacks);

  static bool IsTarget(std::string_view target);
  // The route whose settings apply to these jobs on the host, or null.
  static const serving::Route* FindRoute(const serving::RouteTable& routes,
                                         std::string_view host);
  // Id of the job that the request refers to or would submit; empty if none.
  static std::string JobIdOf(const http::RequestEvent& request,
                             const CallerIdentity& caller);
  static bool IsSubmission(const http::RequestEvent& request);
  void OnRequest(http::RequestEvent&& request, const CallerIdentity& caller);

 private:
  struct JobTarget;

  void Submit(http::RequestEvent&& request, const CallerIdentity& caller);
  void Status(ExchangeId exchange, const CallerIdentity& caller,
              const std::string& id);
  void Results(http::RequestEvent&& request, const CallerIdentity& caller,
               const JobTarget& target);
  void RespondResults(ExchangeId exchange, const CallerIdentity& caller,
                      const JobTarget& target, const serving::BatchJob& job);
  void ReadOutputs(http::RequestEvent&& request, const CallerIdentity& caller,
                   const JobTarget& target);
  void Cancel(const http::RequestEvent& request, const CallerIdentity& caller,
              const std::string& id);
  void OnSubmitted(ExchangeId exchange, const CallerIdentity& caller,
                   const std::string& id, SubmitOutcome outcome);
  void RespondStatus(ExchangeId exchange, const CallerIdentity& caller,
                     unsigned status, const std::string& id);
  const serving::BatchJob* FindJob(const CallerIdentity& caller,
                                   const std::string& id) const;
  void RespondNotCurrent(ExchangeId exchange, const CallerIdentity& caller);
  void RespondUnknownJob(ExchangeId exchange, const CallerIdentity& caller);

  const serving::RouteTable& routes_;
  const serving::JobTable& jobs_;
  JobWriter& writer_;
  std::string own_name_;
  Callbacks callbacks_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_NATIVE_BATCH_API_H_
