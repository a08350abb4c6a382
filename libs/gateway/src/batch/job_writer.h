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
#include "cluster/job_holders.h"
#include "observe/metrics.h"
#include "peers/store_record.h"
#include "platform/store_answer.h"
#include "serving/job_table.h"
#include "serving/quota_limiter.h"

namespace knapweedstile::gateway {

class RecordKinds;
class StoreCalls;

enum class SubmitOutcome {
  kAccepted,     // the job's record is in the store
  kOverQuota,    // not accepted: too many waiting tokens
  kUnavailable,  // not accepted: the store is unavailable
  kTooLarge,     // never accepted: the record is too large
  kUnknown,      // it may have been accepted
};

struct ResourceLimits;

enum class EndOutcome { kEnded, kNotFound, kUnavailable };

// Writes to the store the records of batch jobs, and the records that end jobs
// at their callers' request, and retries until it is known whether they are
// stored.
//
// A job is accepted only once its record is known to be in the store. An
// outcome that means "not accepted" is returned only if no write that was sent
// can still take effect. Otherwise the outcome is kUnknown, and the caller can
// safely submit again: the job's id makes submissions idempotent.
class JobWriter {
 public:
  using SubmitCallback = std::function<void(SubmitOutcome)>;
  using EndCallback = std::function<void(EndOutcome)>;
  struct Callbacks {
    // A job or its end was added to the job table.
    std::function<void(const std::string& job)> job_changed;
    // Called when a record is in the store. Returns its sequence number among
    // the records that this gateway wrote.
    std::function<uint64_t(const StoreRecord& record)> record_written;
    // The gateways that are to hold the job's bytes; empty names: all of them.
    std::function<cluster::HolderPair(const std::string& job)> choose_holders;
    // The newest configuration version that this gateway knows of, in force
    // here or not.
    std::function<uint64_t()> newest_configuration;
    // Number of gateways that accept jobs of the shards held by this gateway,
    // including this one.
    std::function<size_t()> gateway_count;
    // Share of all shards that these gateways hold, 0 to 1.
    std::function<double()> shard_share;
    // Whether this gateway has all records that its live peers have written.
    std::function<bool()> has_live_peer_records;
    // Whether this gateway has received every record that a caller may already
    // have seen on another gateway.
    std::function<bool()> has_all_records;
    // Schedules a read of the store's records.
    std::function<void()> refresh_records;
  };
  struct Request {
    std::string job;
    JobRecord record;
    uint64_t tokens = 0;
    uint64_t max_waiting_tokens = 0;  // per quota scope; zero: no limit
    TimePoint arrived_at;

    serving::QuotaScope scope() const {
      return {.route = record.route, .workspace = record.workspace};
    }
  };

  JobWriter(StoreCalls& store, const RecordKinds& kinds,
            serving::JobTable& jobs, observe::Metrics& metrics,
            const ResourceLimits& limits, Callbacks callbacks);

  void Submit(Request&& request, SubmitCallback done);
  // Ends the job at a caller's request, so that no more of its items run.
  void End(const std::string& job, TimePoint give_up_at, EndCallback done);
  // Every live peer has this gateway's records up to sequence number `number`.
  // Checks the deferred submissions against the quota again.
  void OnAcknowledged(uint64_t number, TimePoint now);
  // Whether any accepted job is not yet acknowledged by all live peers, or any
  // submission is deferred until earlier jobs are.
  bool awaits_acknowledgement() const noexcept {
    return !quota_.all_acknowledged() || !deferred_.empty();
  }

 private:
  struct Submission {
    Request request;
    SubmitCallback done;
    TimePoint give_up_at;
    // A write may have taken effect: it got no response, or the record already
    // exists.
    bool maybe_written = false;
    uint32_t rejected_writes = 0;
  };
  using SubmissionId = uint64_t;

  // A submission that waits until peers have acknowledged earlier jobs.
  struct DeferredSubmission {
    Request request;
    SubmitCallback done;
    TimePoint give_up_at;
  };

  serving::QuotaVerdict CheckQuota(const Request& request) const;
  // Why there is no room for a record of that size; empty: there is.
  std::string_view MissingRoom(size_t record_bytes) const;
  // Reserves the job's tokens in the quota and writes its record.
  void StartSubmission(Request&& request, SubmitCallback done);
  void Write(SubmissionId id);
  void OnWritten(SubmissionId id, platform::StoreAnswer&& answer);
  void ReadBack(SubmissionId id);
  void RetryWrite(SubmissionId id);
  // The job is in the store with the record `value`, which any gateway may have
  // written.
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
  uint64_t max_job_bytes_;
  uint64_t max_pending_bytes_;
  size_t max_pending_;
  serving::QuotaLimiter quota_;
  uint64_t last_submission_ = 0;
  std::unordered_map<SubmissionId, Submission> submissions_;
  std::deque<DeferredSubmission> deferred_;  // in order of arrival
};

}  // namespace knapweedstile::gateway

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 5>
    kEnumNames<gateway::SubmitOutcome> = {"accepted", "over_quota", "refused",
                                          "too_large", "unknown"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_WRITER_H_
