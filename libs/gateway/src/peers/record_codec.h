#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_CODEC_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/store_record.h"

namespace knapweedstile::gateway {

// Records of one gateway, as sent to a peer in one message.
struct PushedRecords {
  std::string gateway;
  uint64_t start = 0;  // identifies the gateway's process
  uint64_t count = 0;  // number it has written, up to the last of these
  std::vector<StoreRecord> records;
};

// Serializes a record, compressed, so that the result can be appended to any
// message. It is made once for all receivers.
//
// Compression reduces the delay of streamed events. A job record or result is
// some ten kilobytes and goes to every peer at once, which occupies the link of
// a small VM for a tenth of a second.
std::string PackRecord(const StoreRecord& record);

// Compresses a text by itself.
std::string PackText(std::string_view text);
std::optional<std::string> UnpackText(std::string_view packed);

// Builds a message from concatenated results of PackRecord().
std::string EncodePush(std::string_view gateway, uint64_t start, uint64_t count,
                       std::string_view packed_records);
// Returns nothing if the bytes are not a valid message.
std::optional<PushedRecords> DecodePush(std::string_view message);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_CODEC_H_
