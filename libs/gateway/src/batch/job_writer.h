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
#include "peers/own_record.h"
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
  using Submitted = std::function<void(SubmitOutcome)>;
  using Ended = std::function<void(EndOutcome)>;
  struct Ports {
    // A job or its end is new in the book.
    std::function<void(const std::string& job)> book_changed;
    // A record is now in the store; its number among this entry's own.
    std::function<uint64_t(const OwnRecord& record)> written;
    // Gateways that accept jobs of the shards held here, this one included.
    std::function<size_t()> entries;
    // The part of all shards that these gateways hold.
    std::function<double()> held_part;
    // Whether what the other live entries have written is known here.
    std::function<bool()> complete;
    // The same for all entries: none is silent, or the store was read just now.
    std::function<bool()> current;
    // Reads the store's records soon.
    std::function<void()> refresh;
  };
  struct Request {
    std::string job;
    JobRecord record;
    uint64_t tokens = 0;
    uint64_t most_waiting_tokens = 0;  // of the scope; zero: no limit
    TimePoint arrived_at;

    serving::QuotaScope scope() const {
      return {.route = record.route, .workspace = record.workspace};
    }
  };

  JobWriter(StoreCalls& store, const RecordKinds& kinds,
            serving::JobTable& book, observe::Metrics& metrics, Ports ports);

  void Submit(Request&& request, Submitted done);
  void End(const std::string& job, TimePoint give_up_at, Ended done);
  // Every live entry has this entry's records up to `number`. Jobs that waited
  // for that are judged again.
  void OnHeard(uint64_t number, TimePoint now);
  // Whether jobs wait for others to hear of them or of those before them.
  bool awaits_others() const noexcept {
    return !quota_.empty() || !held_.empty();
  }

 private:
  struct Submission {
    Request request;
    Submitted done;
    TimePoint give_up_at;
    bool maybe_written = false;  // a write went unanswered
    uint32_t refused_writes = 0;
  };
  using SubmissionId = uint64_t;

  // Waits until others have heard of the jobs before it.
  struct Held {
    Request request;
    Submitted done;
    TimePoint give_up_at;
  };

  serving::QuotaVerdict Judge(const Request& request) const;
  // Counts against the limit from now on; its record is written.
  void Begin(Request&& request, Submitted done);
  void Write(SubmissionId id);
  void OnWritten(SubmissionId id, platform::StoreAnswer&& answer);
  void ReadBack(SubmissionId id);
  void WriteAgain(SubmissionId id);
  // The job is in the store with this record, by whichever entry.
  void Accept(SubmissionId id, const std::string& value);
  void Finish(SubmissionId id, SubmitOutcome outcome, std::string_view cause);
  void Refuse(const Request& request, SubmitOutcome outcome,
              std::string_view cause);
  void OnEndWritten(const std::string& job, TimePoint give_up_at, Ended done,
                    const platform::StoreAnswer& answer);

  StoreCalls& store_;
  const RecordKinds& kinds_;
  serving::JobTable& book_;
  observe::Metrics& metrics_;
  Ports ports_;
  serving::QuotaLimiter quota_;
  uint64_t last_submission_ = 0;
  std::unordered_map<SubmissionId, Submission> submissions_;
  std::deque<Held> held_;  // in the order of their arrival
};

}  // namespace knapweedstile::gateway

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 5>
    kEnumNames<gateway::SubmitOutcome> = {"accepted", "over_quota", "refused",
                                          "too_large", "unknown"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_WRITER_H_
