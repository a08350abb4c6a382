#ifndef KNAPWEEDSTILE_GATEWAY_BATCH_API_H_
#define KNAPWEEDSTILE_GATEWAY_BATCH_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/id.h"
#include "base/time.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "job_records.h"
#include "observe/metrics.h"
#include "own_record.h"
#include "platform/store_answer.h"
#include "serving/job_book.h"
#include "serving/route.h"
#include "users_platform/batch_calls.h"

namespace knapweedstile::gateway {

class StoreCalls;

// Callers' calls on batch jobs: submit, read, end.
//
// A job is accepted only when its record is known to be in the store. A refusal
// (429, 503) is given only when no record of it was sent that may yet be
// written; where that is not known the caller gets 504, which promises nothing,
// and the job's id makes its return harmless.
class BatchApi {
 public:
  struct Ports {
    std::function<void(http::ServerCommand&&)> to_caller;
    // A job or its end is new in the book.
    std::function<void()> book_changed;
    // A record is now in the store.
    std::function<void(const OwnRecord& record)> written;
    // Whether all records that exist are known here.
    std::function<bool()> current;
  };

  BatchApi(StoreCalls& store, serving::JobBook& book, observe::Metrics& metrics,
           std::string own_name, Ports ports);

  void Submit(http::RequestEvent&& request, const serving::Route& route);
  void Call(http::RequestEvent&& request,
            const users_platform::BatchCall& call);
  void OnCallerGone(ExchangeId caller);
  // Records of the job came from the store or were committed here.
  void OnProgress(const std::string& job);
  // Ends reads whose time to wait is over.
  void Expire(TimePoint now);

 private:
  struct Submission {
    std::string job;
    JobRecord record;
    uint64_t tokens = 0;
    ExchangeId caller;
    TimePoint arrived_at;
    TimePoint give_up_at;
    bool maybe_written = false;  // a write went unanswered
    uint32_t refused_writes = 0;
  };
  struct Read {
    ExchangeId caller;
    uint64_t position = 0;
    TimePoint answer_at;
  };
  using SubmissionId = uint64_t;

  void Write(SubmissionId id);
  void OnWritten(SubmissionId id, platform::StoreAnswer&& answer);
  void ReadBack(SubmissionId id);
  void WriteAgain(SubmissionId id);
  // The job is in the store with this record, by whichever entry.
  void Accept(SubmissionId id, const std::string& value);
  void RefuseSubmission(SubmissionId id, std::string_view cause);
  void GiveUpSubmission(SubmissionId id);
  bool FitsQuota(const serving::Route& route, uint64_t tokens) const;

  void Serve(ExchangeId caller, const users_platform::BatchCall& call);
  void ServeRead(ExchangeId caller, const users_platform::BatchCall& call,
                 const serving::BatchJob& job);
  void ServeBody(ExchangeId caller, const users_platform::BatchCall& call,
                 const serving::BatchJob& job);
  void End(ExchangeId caller, const std::string& job, TimePoint give_up_at);
  // Asks the store for a job that the book does not hold.
  void Fetch(ExchangeId caller, const users_platform::BatchCall& call);
  void AnswerRead(const Read& read, const serving::BatchJob& job);
  void Respond(ExchangeId caller, unsigned status, std::string body = {},
               std::string_view type = {});
  void RespondRetry(ExchangeId caller, unsigned status, Duration retry_after);

  StoreCalls& store_;
  serving::JobBook& book_;
  observe::Metrics& metrics_;
  std::string own_name_;
  Ports ports_;
  uint64_t last_submission_ = 0;
  std::unordered_map<SubmissionId, Submission> submissions_;
  std::multimap<std::string, Read> reads_;  // by job
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_BATCH_API_H_
