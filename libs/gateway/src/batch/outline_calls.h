#ifndef KNAPWEEDSTILE_GATEWAY_OUTLINE_CALLS_H_
#define KNAPWEEDSTILE_GATEWAY_OUTLINE_CALLS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batch/job_call.h"
#include "observe/metrics.h"

namespace knapweedstile::serving {
struct BatchJob;
class JobTable;
}  // namespace knapweedstile::serving

namespace knapweedstile::gateway {

class JobForwarder;
class RecordFetcher;

// Answers callers' reads that need bytes of a job that this gateway holds in
// outline only. The call goes to the job's holders. If none of them answers,
// the missing records are read from the store and the call is answered here.
//
// Designed for readers who poll twice a second at any gateway: most polls find
// nothing new, which the outline tells, and each result is read about once. No
// call takes more than one such step, so calls cannot loop.
class OutlineCalls {
 public:
  struct Callbacks {
    // Addresses of the job's live holders, in the order in which to try them.
    std::function<std::vector<std::string>(const std::string& job)> holders;
    // Responds that this gateway cannot answer a peer's call.
    std::function<void(ExchangeId exchange)> misdirected;
  };
  // Name of a record that the answer still needs, or nothing.
  using MissingRecord =
      std::function<std::optional<std::string>(const serving::BatchJob&)>;
  // `complete`: all records that the answer needs are here.
  using AnswerHere = std::function<void(bool complete)>;
  // The signature of Serve().
  using Function =
      std::function<void(const std::shared_ptr<const JobCall>&,
                         const std::string& job, MissingRecord, AnswerHere)>;

  OutlineCalls(JobForwarder& forwarder, RecordFetcher& fetcher,
               const serving::JobTable& jobs, observe::Metrics& metrics,
               Callbacks callbacks);

  // Either the caller receives a holder's response, or `answer` is called.
  void Serve(const std::shared_ptr<const JobCall>& call, const std::string& job,
             MissingRecord missing, AnswerHere answer);

 private:
  // Whether the missing record is a result whose output no gateway holds.
  bool IsInParts(const std::string& job, const MissingRecord& missing) const;
  void ReadMissing(const std::string& job, const MissingRecord& missing,
                   const AnswerHere& answer);

  JobForwarder& forwarder_;
  RecordFetcher& fetcher_;
  const serving::JobTable& jobs_;
  observe::Metrics& metrics_;
  Callbacks callbacks_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_OUTLINE_CALLS_H_
