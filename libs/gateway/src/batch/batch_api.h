#ifndef KNAPWEEDSTILE_GATEWAY_BATCH_API_H_
#define KNAPWEEDSTILE_GATEWAY_BATCH_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/id.h"
#include "base/time.h"
#include "batch/job_writer.h"
#include "batch/outline_calls.h"
#include "callers/caller_identity.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "observe/metrics.h"
#include "peers/store_record.h"
#include "platform/store_answer.h"
#include "serving/job_table.h"
#include "serving/route.h"
#include "users_platform/batch_calls.h"

namespace knapweedstile::gateway {

class RecordKinds;
class StoreCalls;

// Batch job API in the format of the users' platform: submit a job, read its
// results, end it.
class BatchApi {
 public:
  struct Callbacks {
    std::function<void(http::ServerCommand&&)> to_caller;
    // Whether this gateway has all records that exist.
    std::function<bool()> has_all_records;
    // Answers a read that needs bytes of a job known in outline only.
    OutlineCalls::Function serve_from_holder;
  };

  BatchApi(StoreCalls& store, const RecordKinds& kinds, serving::JobTable& jobs,
           JobWriter& writer, std::string own_name, size_t max_store_reads,
           Callbacks callbacks);

  void Submit(http::RequestEvent&& request, const serving::Route& route,
              const CallerIdentity& caller);
  // A job is visible only to its own workspace; other workspaces get 404.
  void Call(http::RequestEvent&& request, const users_platform::BatchCall& call,
            const CallerIdentity& caller);
  void OnCallerDisconnected(ExchangeId caller);
  // Records of the job were read from the store or committed by this gateway.
  void OnProgress(const std::string& job);
  // Responds to pending reads whose wait time has elapsed.
  void Expire(TimePoint now);

 private:
  using CallPointer = std::shared_ptr<const JobCall>;
  struct PendingRead {
    ExchangeId caller;
    CallPointer call;
    uint64_t position = 0;
    TimePoint respond_at;
  };
  void OnSubmitted(ExchangeId caller, SubmitOutcome outcome);
  // Key of the caller's job with that id, whether or not the job exists.
  std::string KeyOf(std::string_view id, const CallerIdentity& caller) const;
  // `job` is the job's key.
  void Serve(const CallPointer& call, const std::string& job,
             const users_platform::BatchCall& operation);
  void ServeRead(const CallPointer& call,
                 const users_platform::BatchCall& operation,
                 const serving::BatchJob& job);
  void ServeBody(const CallPointer& call,
                 const users_platform::BatchCall& operation,
                 const serving::BatchJob& job);
  // For a job whose outputs, or the item's body, are not here.
  void ReadOutputs(const PendingRead& read, const std::string& job);
  void ReadBody(const CallPointer& call,
                const users_platform::BatchCall& operation,
                const std::string& job);
  void End(ExchangeId caller, const std::string& job, TimePoint give_up_at);
  // Reads the store for a job that is not in the job table: responds 404 if it
  // does not exist, otherwise 503 with Retry-After.
  void RespondUnknownJob(ExchangeId caller, const std::string& job);
  void RespondRead(const PendingRead& read, const serving::BatchJob& job);
  void Respond(ExchangeId caller, unsigned status, std::string body = {},
               std::string_view type = {});
  void RespondRetry(ExchangeId caller, unsigned status, Duration retry_after);

  StoreCalls& store_;
  const RecordKinds& kinds_;
  serving::JobTable& jobs_;
  JobWriter& writer_;
  std::string own_name_;
  Callbacks callbacks_;
  std::multimap<std::string, PendingRead> pending_reads_;  // by job key
  // Reads of the store for jobs that this gateway does not know.
  size_t max_store_reads_;
  size_t store_reads_ = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_BATCH_API_H_
