#ifndef KNAPWEEDSTILE_GATEWAY_RESULT_COMMITTER_H_
#define KNAPWEEDSTILE_GATEWAY_RESULT_COMMITTER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "peers/store_record.h"
#include "platform/store_answer.h"
#include "serving/item_result.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {

class LargeResultWriter;
class RecordKinds;
class StoreCalls;

// Writes the results of finished items to the store as numbered segments.
//
// A segment is created only if its number is unused, and only by a gateway that
// has all earlier segments. If two gateways ran the same item, one commits its
// result and the other finds it in the committed segment. If the response to a
// write is lost, the segment is read back before the next step. A write of
// unknown fate may still take effect, also after its job has ended or another
// gateway has written the segment: it is repeated until its fate is known.
//
// A result that does not fit into a segment is committed by itself, once its
// output is in the store in parts; other results do not wait for it. A segment
// that the store rejects for good is followed by smaller ones.
class ResultCommitter {
 public:
  ResultCommitter(StoreCalls& store, const RecordKinds& kinds,
                  serving::JobTable& jobs, LargeResultWriter& large_results,
                  std::function<void(const std::string& job)> committed,
                  std::function<void(const StoreRecord& record)> written);

  // An item of the job has finished.
  void OnItemFinished(const std::string& job, TimePoint now);
  // Starts the writes that are due.
  void Run(TimePoint now);
  // Whether all results are in the store.
  bool idle() const noexcept { return pending_.empty(); }

 private:
  // Below the store's limit on the size of a value.
  static constexpr size_t kMaxSegmentBytes = 800 << 10;
  struct Pending {
    TimePoint write_at{};
    bool in_flight = false;
    // A write of the segment got no response and was not found in the store.
    bool maybe_written = false;
    uint32_t number = 0;  // of the segment in flight
    StoreRecord record;   // the segment in flight
    std::vector<serving::ItemResult> results;
    size_t max_bytes = kMaxSegmentBytes;
  };

  // Whether the write of `pending` must be repeated as it is.
  static bool IsUnsettled(const Pending& pending, const serving::BatchJob& job);
  // Chooses what the next segment lists; false: nothing yet.
  bool FillSegment(const std::string& job, Pending& pending);
  void Write(const std::string& job, Pending& pending, TimePoint now);
  void Send(const std::string& job, Pending& pending);
  void OnWritten(const std::string& job, platform::StoreAnswer&& answer);
  void OnRejected(const std::string& job, const std::string& reason);
  void ReadBack(const std::string& job, uint32_t number);
  void OnReadBack(const std::string& job, uint32_t number,
                  platform::StoreAnswer&& answer);
  void ApplySegment(const std::string& job, uint32_t number,
                    std::vector<serving::ItemResult>&& results);
  void ScheduleRetry(const std::string& job);

  StoreCalls& store_;
  const RecordKinds& kinds_;
  serving::JobTable& jobs_;
  LargeResultWriter& large_results_;
  std::function<void(const std::string&)> committed_;
  std::function<void(const StoreRecord&)> written_;
  std::map<std::string, Pending> pending_;  // by job key
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RESULT_COMMITTER_H_
