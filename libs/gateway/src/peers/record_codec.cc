#include "peers/record_codec.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include "proto/record_push.pb.h"

namespace knapweedstile::gateway {
namespace {

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

// Larger than any stored value; a greater size is invalid.
constexpr uint64_t kMaxValueBytes = 4 << 20;
// The fastest level: what it fails to remove is a tenth of what it removes.
constexpr int kCompressionLevel = 1;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;

std::string Compress(std::string_view text) {
  zlib::deflate_stream stream;
  stream.reset(kCompressionLevel, kWindowBits, kMemoryLevel,
               zlib::Strategy::normal);
  std::string packed(stream.upper_bound(text.size()), '\0');
  zlib::z_params params;
  params.next_in = text.data();
  params.avail_in = text.size();
  params.next_out = packed.data();
  params.avail_out = packed.size();
  error_code ec;
  // Ends with `end_of_stream`: the buffer is large enough for any text.
  stream.write(params, zlib::Flush::finish, ec);
  packed.resize(params.total_out);
  return packed;
}

std::optional<std::string> Decompress(std::string_view packed, uint64_t size) {
  if (size > kMaxValueBytes) return std::nullopt;
  zlib::inflate_stream stream;
  std::string text(size, '\0');
  zlib::z_params params;
  params.next_in = packed.data();
  params.avail_in = packed.size();
  params.next_out = text.data();
  params.avail_out = text.size();
  error_code ec;
  stream.write(params, zlib::Flush::finish, ec);
  if (params.total_out != size) return std::nullopt;
  return text;
}

}  // namespace

// Serialized protobuf messages can be concatenated: repeated fields are merged,
// so a packed record can be appended to a message as it is.
std::string PackRecord(const StoreRecord& record) {
  wire::RecordPushMessage message;
  wire::PackedRecordMessage& packed = *message.add_records();
  packed.set_name(record.name);
  packed.set_packed(Compress(record.value));
  packed.set_size(record.value.size());
  packed.set_outline(record.is_outline);
  return message.SerializeAsString();
}

std::string PackText(std::string_view text) {
  wire::PackedRecordMessage packed;
  packed.set_packed(Compress(text));
  packed.set_size(text.size());
  return packed.SerializeAsString();
}

std::optional<std::string> UnpackText(std::string_view packed) {
  wire::PackedRecordMessage message;
  const int size = static_cast<int>(packed.size());
  if (!message.ParseFromArray(packed.data(), size)) return std::nullopt;
  return Decompress(message.packed(), message.size());
}

std::string EncodePush(std::string_view gateway, uint64_t start, uint64_t count,
                       std::string_view packed_records) {
  wire::RecordPushMessage message;
  message.set_entry(std::string(gateway));
  message.set_start(start);
  message.set_count(count);
  std::string text = message.SerializeAsString();
  text += packed_records;
  return text;
}

std::optional<PushedRecords> DecodePush(std::string_view text) {
  wire::RecordPushMessage message;
  const int size = static_cast<int>(text.size());
  if (!message.ParseFromArray(text.data(), size)) return std::nullopt;
  if (message.entry().empty()) return std::nullopt;
  PushedRecords pushed{.gateway = message.entry(),
                       .start = message.start(),
                       .count = message.count()};
  for (const wire::PackedRecordMessage& record : message.records()) {
    auto value = Decompress(record.packed(), record.size());
    if (!value) return std::nullopt;
    pushed.records.push_back(
        {record.name(), std::move(*value), record.outline()});
  }
  return pushed;
}

}  // namespace knapweedstile::gateway
