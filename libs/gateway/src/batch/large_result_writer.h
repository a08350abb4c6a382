#ifndef KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_WRITER_H_
#define KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_WRITER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "base/time.h"
#include "batch/large_result.h"
#include "observe/metrics.h"
#include "platform/store_answer.h"

namespace knapweedstile::serving {
class JobTable;
struct ItemResult;
}  // namespace knapweedstile::serving

namespace knapweedstile::gateway {

class LargeResultIndex;
class RecordKinds;
class StoreCalls;

// Writes the outputs of finished items that do not fit into a segment to the
// store in parts, one part at a time: first the marker, by which the parts are
// found when they are to be deleted, then the parts. The caller then commits
// the segment that names them.
//
// The parts are cut from the output in the job table. A result that is no
// longer to be committed is dropped; its parts are deleted with the job.
class LargeResultWriter {
 public:
  LargeResultWriter(StoreCalls& store, const RecordKinds& kinds,
                    const serving::JobTable& jobs, LargeResultIndex& index,
                    observe::Metrics& metrics);

  // Begins to write the output of a result in parts.
  void Begin(const std::string& job, const serving::ItemResult& result);
  // Continues the writes that are due.
  void Run(TimePoint now);
  // Items of the job whose parts are being written or are complete.
  std::set<std::string> ItemsOf(const std::string& job) const;
  // A result of the job of which all parts are in the store.
  std::optional<LargeResult> NextComplete(const std::string& job) const;
  // Counts that the store has rejected a write for good, and logs the first of
  // a job.
  void OnRejected(const std::string& job, const std::string& record,
                  size_t bytes, const std::string& reason);

 private:
  struct Key {
    std::string job;
    std::string item;
    friend bool operator<(const Key& a, const Key& b) {
      return std::tie(a.job, a.item) < std::tie(b.job, b.item);
    }
  };
  struct Output {
    LargeResult result;
    bool has_marker = false;
    uint32_t next_part = 0;
    TimePoint write_at{};
  };

  void WriteNext(const Key& key, Output& output, std::string_view text);
  void OnWritten(const Key& key, const std::string& record, size_t bytes,
                 const platform::StoreAnswer& answer);
  void WriteSmallerParts(const Key& key, Output& output);

  StoreCalls& store_;
  const RecordKinds& kinds_;
  const serving::JobTable& jobs_;
  LargeResultIndex& index_;
  observe::Metrics& metrics_;
  std::map<Key, Output> outputs_;
  std::set<std::string> rejected_jobs_;  // that were logged
  bool in_flight_ = false;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_WRITER_H_
