#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_READER_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_READER_H_

#include <cstddef>
#include <functional>
#include <set>
#include <string>

#include "base/time.h"

namespace knapweedstile::platform {
struct StoredObject;
}
namespace knapweedstile::serving {
class JobTable;
}

namespace knapweedstile::gateway {

class LargeResultIndex;
struct RecordName;

// Where a record comes from.
enum class RecordOrigin {
  // Read from the store; records that are known stay as they are.
  kList,     // a list of all records
  kChange,   // a change since the previous read
  kFull,     // pushed, or read because this gateway needs its bytes
  kOutline,  // pushed without bodies and outputs
};

// Decodes records of batch jobs, read from the store or pushed by peers, and
// applies them to the job table.
class RecordReader {
 public:
  struct Callbacks {
    // A job has new results or was ended.
    std::function<void(const std::string& job)> job_updated;
    // A change that was read from the store was not known here.
    std::function<void(const platform::StoredObject& object)> record_found;
  };

  RecordReader(serving::JobTable& jobs, LargeResultIndex& large_results,
               Callbacks callbacks);

  void ApplyRecord(const platform::StoredObject& object, RecordOrigin origin);
  // Removes the jobs that are absent in a complete list, so that jobs whose
  // deletion was not read do not stay in memory. `names`: of all records of a
  // kind, listed from `began` on; `is_listed`: whether a job is of that kind.
  // Jobs that arrived later stay: every other one was in the store by then.
  // Returns their number.
  size_t RemoveDeletedJobs(
      const std::set<std::string>& names, TimePoint began,
      const std::function<bool(const std::string& job)>& is_listed);

 private:
  void AddJob(const std::string& id, const platform::StoredObject& object,
              RecordOrigin origin);
  void AddSegment(const RecordName& name, const platform::StoredObject& object,
                  RecordOrigin origin);
  void ReportIfFound(const platform::StoredObject& object, RecordOrigin origin);

  serving::JobTable& jobs_;
  LargeResultIndex& large_results_;
  Callbacks callbacks_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_READER_H_
