#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_CODEC_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/store_record.h"

namespace knapweedstile::gateway {

// Records of one entry in one message to another.
struct PushedRecords {
  std::string gateway;
  uint64_t start = 0;  // of the entry's process
  uint64_t count = 0;  // written by it, up to the last of these
  std::vector<StoreRecord> records;
};

// A record's place in any message, deflated: made once for all receivers.
//
// Load: a job's record or a result is some ten kilobytes and goes to every
// other entry in one moment. A small VM's link takes a tenth of a second for
// it, in which events of its callers' streams wait.
std::string PackRecord(const StoreRecord& record);

// A message of packed records.
std::string EncodePush(std::string_view entry, uint64_t start, uint64_t count,
                       std::string_view packed_records);
// Nothing where the bytes are no such message.
std::optional<PushedRecords> DecodePush(std::string_view message);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_CODEC_H_
