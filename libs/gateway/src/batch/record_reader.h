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

struct RecordName;

// Takes the system's own records, read from the store or pushed by other
// entries, into the book.
class RecordReader {
 public:
  struct Ports {
    // A job has results or its end that were not known here.
    std::function<void(const std::string& job)> progress;
  };

  RecordReader(serving::JobTable& book, Ports ports);

  void Take(const platform::StoredObject& object);

 private:
  void AddJob(const std::string& id, const platform::StoredObject& object);
  void AddSegment(const RecordName& name, const platform::StoredObject& object);

  serving::JobTable& book_;
  Ports ports_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_READER_H_
