#ifndef KNAPWEEDSTILE_JOBS_ITEM_LINE_H_
#define KNAPWEEDSTILE_JOBS_ITEM_LINE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedstile::jobs {

// Largest item; a longer line becomes an item that has failed.
inline constexpr size_t kMaxItemBytes = 512 << 10;

// One item as its input segment holds it.
struct ItemLine {
  std::string custom_id;
  std::string model;
  std::string body;   // JSON; empty when the item cannot run
  std::string error;  // why it cannot run
};

// The stored form of a caller's line: one line of JSON. A line that is not an
// item yields one that carries its own error, so it does not hold the rest.
std::string CanonicalLine(std::string_view line);

// Reads a line that CanonicalLine made.
ItemLine DecodeItemLine(std::string_view line);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_ITEM_LINE_H_
