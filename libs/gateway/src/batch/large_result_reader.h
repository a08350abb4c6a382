#ifndef KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_READER_H_
#define KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_READER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "base/time.h"
#include "batch/large_result.h"
#include "platform/store_answer.h"

namespace knapweedstile::serving {
class JobTable;
}

namespace knapweedstile::gateway {

// Reads outputs that are stored in parts and adds them to the job table, as the
// outputs of their segments. Bounds the memory that such outputs take: the
// oldest ones are dropped from the table and read again when they are needed.
class LargeResultReader {
 public:
  using Callback = std::function<void(const platform::StoreAnswer&)>;
  // Reads the object `name` of the kind of parts.
  using ReadPart = std::function<void(
      const std::string& name, std::function<void(platform::StoreAnswer&&)>)>;

  LargeResultReader(serving::JobTable& jobs, ReadPart read_part);

  // `answer` is that to a read of a job's record. If the record lists a large
  // result, `done` is called once its output is in the table, or with a failed
  // outcome; otherwise at once.
  void Complete(platform::StoreAnswer&& answer, Callback done);

 private:
  struct Read {
    platform::StoreAnswer answer;
    Callback done;
    LargeResult result;
    std::string job;
    uint32_t segment = 0;
    uint32_t next_part = 0;
    std::string output;
  };
  // An output in the job table.
  struct Kept {
    std::string job;
    uint32_t segment = 0;
    size_t position = 0;
    size_t bytes = 0;
  };

  void ReadNext(uint64_t id);
  void OnPart(uint64_t id, const platform::StoreAnswer& answer);
  void Finish(Read&& read);
  void Fail(uint64_t id, const std::string& part, std::string_view reason);
  void Keep(Kept&& kept);

  serving::JobTable& jobs_;
  ReadPart read_part_;
  uint64_t last_read_ = 0;
  std::map<uint64_t, Read> reads_;  // in progress
  std::deque<Kept> kept_;           // oldest first
  size_t kept_bytes_ = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_READER_H_
