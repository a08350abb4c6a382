#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_READER_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_READER_H_

#include <functional>
#include <string>

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
  kMirror,   // a read of all records; those that are known stay as they are
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
  };

  RecordReader(serving::JobTable& jobs, LargeResultIndex& large_results,
               Callbacks callbacks);

  void ApplyRecord(const platform::StoredObject& object, RecordOrigin origin);

 private:
  void AddJob(const std::string& id, const platform::StoredObject& object,
              RecordOrigin origin);
  void AddSegment(const RecordName& name, const platform::StoredObject& object,
                  RecordOrigin origin);

  serving::JobTable& jobs_;
  LargeResultIndex& large_results_;
  Callbacks callbacks_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_READER_H_
