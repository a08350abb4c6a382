#ifndef KNAPWEEDSTILE_SERVING_CELL_H_
#define KNAPWEEDSTILE_SERVING_CELL_H_

#include <compare>
#include <cstdint>
#include <string>

#include "serving/server_record.h"

namespace knapweedstile::serving {

// A group of gateways and backend servers. A gateway reports each change of
// usage on a server of its cell at once to the gateways of its cell; all others
// receive it some hundred milliseconds later.
struct Cell {
  // Empty: the whole fleet is one cell.
  std::string availability_zone;
  // A zone with many gateways is divided into parts, its servers by a hash.
  uint32_t parts = 1;
  uint32_t part = 0;

  bool Contains(const ServerRecord& server) const;
  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Cell&) const = default;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_CELL_H_
