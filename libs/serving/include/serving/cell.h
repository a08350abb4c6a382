#ifndef KNAPWEEDSTILE_SERVING_CELL_H_
#define KNAPWEEDSTILE_SERVING_CELL_H_

#include <compare>
#include <cstdint>
#include <string>

#include "serving/server_record.h"

namespace knapweedstile::serving {

// A group of entries and backend servers. Entries tell each change at one of
// its servers at once to the entries of its cell; all others hear of it some
// hundred milliseconds later.
struct Cell {
  // Empty: the whole fleet is one cell.
  std::string availability_zone;
  // A zone with many entries is divided, its servers by a hash.
  uint32_t parts = 1;
  uint32_t part = 0;

  bool Contains(const ServerRecord& server) const;
  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Cell&) const = default;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_CELL_H_
