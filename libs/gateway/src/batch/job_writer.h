#ifndef KNAPWEEDSTILE_GATEWAY_JOB_WRITER_H_
#define KNAPWEEDSTILE_GATEWAY_JOB_WRITER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/enum_names.h"
#include "base/time.h"
#include "batch/job_records.h"
#include "observe/metrics.h"
#include "peers/store_record.h"
#include "platform/store_answer.h"
#include "serving/job_table.h"
#include "serving/quota_limiter.h"

namespace knapweedstile::gateway {

class RecordKinds;
class StoreCalls;

enum class SubmitOutcome {
  kAccepted,     // its record is in the store
  kOverQuota,    // not taken: too many tokens wait
  kUnavailable,  // not taken: the store is away
  kTooLarge,     // not taken, ever
  kUnknown,      // it may have been taken
};

enum class EndOutcome { kEnded, kNotFound, kUnavailable };

// Writes batch jobs and their ends to the store until it is known whether they
// are there.
//
// A job is accepted only when its record is known to be in the store. "Not
// taken" is said only when no record of it was sent that may yet be written;
// where that is not known the outcome is kUnknown, and the job's id makes its
// return harmless.
class JobWriter {
 public:
  using SubmitCallback = std::function<void(SubmitOutcome)>;
  using EndCallback = std::function<void(EndOutcome)>;
  struct Callbacks {
    // A job or its end is new in the book.
    std::function<void(const std::string& job)> job_changed;
    // A record is now in the store; its number among this entry's own.
    std::function<uint64_t(const StoreRecord& record)> record_written;
    // Gateways that accept jobs of the shards held here, this one included.
    std::function<size_t()> gateway_count;
    // The part of all shards that these gateways hold.
    std::function<double()> shard_share;
    // Whether what the other live entries have written is known here.
    std::function<bool()> has_live_peer_records;
    // The same for all entries: none is silent, or the store was read just now.
    std::function<bool()> has_all_records;
    // Reads the store's records soon.
    std::function<void()> refresh_records;
  };
  struct Request {
    std::string job;
    JobRecord record;
    uint64_t tokens = 0;
    uint64_t max_waiting_tokens = 0;  // of the scope; zero: no limit
    TimePoint arrived_at;

    serving::QuotaScope scope() const {
      return {.route = record.route, .workspace = record.workspace};
    }
  };

  JobWriter(StoreCalls& store, const RecordKinds& kinds,
            serving::JobTable& book, observe::Metrics& metrics,
            Callbacks ports);

  void Submit(Request&& request, SubmitCallback done);
  void End(const std::string& job, TimePoint give_up_at, EndCallback done);
  // Every live entry has this entry's records up to `number`. Jobs that waited
  // for that are judged again.
  void OnAcknowledged(uint64_t number, TimePoint now);
  // Whether jobs wait for others to hear of them or of those before them.
  bool awaits_acknowledgement() const noexcept {
    return !quota_.empty() || !deferred_.empty();
  }

 private:
  struct Submission {
    Request request;
    SubmitCallback done;
    TimePoint give_up_at;
    bool maybe_written = false;  // a write went unanswered
    uint32_t rejected_writes = 0;
  };
  using SubmissionId = uint64_t;

  // Waits until others have heard of the jobs before it.
  struct DeferredSubmission {
    Request request;
    SubmitCallback done;
    TimePoint give_up_at;
  };

  serving::QuotaVerdict CheckQuota(const Request& request) const;
  // Counts against the limit from now on; its record is written.
  void StartSubmission(Request&& request, SubmitCallback done);
  void Write(SubmissionId id);
  void OnWritten(SubmissionId id, platform::StoreAnswer&& answer);
  void ReadBack(SubmissionId id);
  void RetryWrite(SubmissionId id);
  // The job is in the store with this record, by whichever entry.
  void Accept(SubmissionId id, const std::string& value);
  void FinishUnaccepted(SubmissionId id, SubmitOutcome outcome,
                        std::string_view cause);
  void RecordRejection(const Request& request, SubmitOutcome outcome,
                       std::string_view cause);
  void OnEndWritten(const std::string& job, TimePoint give_up_at,
                    EndCallback done, const platform::StoreAnswer& answer);

  StoreCalls& store_;
  const RecordKinds& kinds_;
  serving::JobTable& jobs_;
  observe::Metrics& metrics_;
  Callbacks callbacks_;
  serving::QuotaLimiter quota_;
  uint64_t last_submission_ = 0;
  std::unordered_map<SubmissionId, Submission> submissions_;
  std::deque<DeferredSubmission> deferred_;  // in the order of their arrival
};

}  // namespace knapweedstile::gateway

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 5>
    kEnumNames<gateway::SubmitOutcome> = {"accepted", "over_quota", "refused",
                                          "too_large", "unknown"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_WRITER_H_
