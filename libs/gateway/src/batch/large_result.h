#ifndef KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_H_
#define KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "serving/item_result.h"

namespace knapweedstile::gateway {

// Kind of the parts of large results. Parts are read by name only, so the kind
// is neither mirrored nor listed.
inline constexpr char kPartKind[] = "knapweedstile-parts";
// Bytes of an output in one part; in base64 it is below the store's limit.
inline constexpr size_t kMaxPartBytes = 640 << 10;

// An output that is stored in parts.
struct StoredOutput {
  std::string hash;  // of the output and `part_bytes`
  uint32_t parts = 0;
  uint64_t bytes = 0;
};
StoredOutput DivideOutput(std::string_view output, size_t part_bytes);

// A result whose output is stored in parts.
struct LargeResult {
  std::string item;
  serving::ItemState state = serving::ItemState::kCompleted;
  StoredOutput output;
  size_t part_bytes = kMaxPartBytes;
};
// The segment that lists only this result.
std::string EncodeLargeResult(const LargeResult& result);
// Nothing if the segment lists results with their outputs, or is not valid.
std::optional<LargeResult> DecodeLargeResult(std::string_view segment);

std::string EncodePart(std::string_view bytes);
// Nothing if the value is not a valid part.
std::optional<std::string> DecodePart(std::string_view value);
// Whether `output` is the output that was divided into these parts.
bool Matches(const LargeResult& result, std::string_view output);

// Bytes that the result takes in an encoded segment.
size_t EncodedSize(const serving::ItemResult& result);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_H_
