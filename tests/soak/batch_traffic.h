#ifndef KNAPWEEDSTILE_SOAK_BATCH_TRAFFIC_H_
#define KNAPWEEDSTILE_SOAK_BATCH_TRAFFIC_H_

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/rng.h"
#include "base/time.h"
#include "batch_record.h"
#include "findings.h"
#include "run_index.h"
#include "soak_site.h"

namespace knapweedstile::soak {

// Simulates callers of batch jobs: submits each job until it is accepted or its
// submit period is over, reads results from any gateway and position, requests
// item bodies and ends some jobs.
class BatchTraffic {
 public:
  BatchTraffic(SoakSite& site, uint64_t seed, Findings& findings);

  void Run(TimePoint now);
  // Stops creating jobs; results of existing jobs are still read.
  void StopSubmitting() { submitting_ = false; }
  void SubmitBurst(int jobs, TimePoint now);
  // Reads the results of each accepted job from the first position at
  // `gateway`, all pages.
  void ReadAll(const std::string& gateway, TimePoint now);

  // The accepted job that was not ended and whose id occurs in the name of this
  // object; empty if there is none.
  std::string OpenJobNamedIn(std::string_view object) const;
  void EndJob(const std::string& job, TimePoint now);
  // From now on reads the job's results at every gateway in turn, each from
  // where its reader is, until the longest time in which gateways may differ
  // has passed since `from`.
  void CompareGateways(const std::string& job, TimePoint from);
  bool comparing() const noexcept { return !compared_.empty(); }

  const std::map<std::string, BatchRecord>& jobs() const noexcept {
    return jobs_;
  }
  size_t open() const noexcept { return open_.size(); }
  // Whether all results of each accepted job that was not ended have been read.
  bool AllListed() const;

 private:
  enum class CallKind { kSubmit, kRead, kBody, kEnd };
  struct Call {
    CallKind kind = CallKind::kRead;
    std::string job;
    std::string gateway;
    TimePoint sent_at{};
    size_t position = 0;   // for kRead
    std::string item;      // for kBody
    bool listed = false;   // the item was listed when its body was requested
    bool follows = false;  // reads on to the last page
    bool compares = false;
  };
  struct Comparison {
    TimePoint until{};
    std::map<std::string, size_t> next;  // positions by gateway
  };

  void Begin(Call&& call, http::ClientRequest&& request, TimePoint now);
  void NewJob(TimePoint now);
  void Submit(const BatchRecord& job, TimePoint now);
  void Read(const BatchRecord& job, const std::string& gateway, size_t position,
            TimePoint now);
  void Read(Call&& call, bool waits, TimePoint now);
  void RunComparisons(TimePoint now);
  void RequestBody(const BatchRecord& job, TimePoint now);
  void End(BatchRecord& job, TimePoint now);
  void RetryDueSubmissions(TimePoint now);

  void Collect(TimePoint now);
  void OnCallEnd(const Call& call, const http::EndEvent& end, TimePoint now);
  void OnSubmitResponse(const Call& call, BatchRecord& job,
                        const http::EndEvent& end, TimePoint now);
  void OnReadResponse(const Call& call, BatchRecord& job,
                      const http::EndEvent& end, TimePoint now);
  void RecordPage(const Call& call, BatchRecord& job,
                  const boost::json::object& page, TimePoint now);
  void OnBodyResponse(const Call& call, const BatchRecord& job,
                      const http::EndEvent& end, TimePoint now);
  void OnEndResponse(BatchRecord& job, const http::EndEvent& end,
                     TimePoint now);
  void CheckQuota(const BatchRecord& job, TimePoint sent_at);
  BatchRecord* PickAcceptedJob();

  SoakSite& site_;
  Rng rng_;
  Rng prompt_rng_;
  Rng size_rng_;
  Findings& findings_;
  bool submitting_ = true;
  TimePoint next_job_at_{};
  TimePoint next_read_at_{};
  uint64_t last_job_ = 0;
  std::map<std::string, BatchRecord> jobs_;
  std::multimap<TimePoint, std::string> retries_;  // job ids by retry time
  std::map<ExchangeId, Call> open_;
  std::map<std::string, Comparison> compared_;  // by job
  TimePoint next_comparison_at_{};
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_BATCH_TRAFFIC_H_
