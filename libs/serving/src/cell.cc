#include "serving/cell.h"

#include "base/hash.h"

namespace knapweedstile::serving {

bool Cell::Contains(const ServerRecord& server) const {
  if (availability_zone.empty()) return true;
  if (server.availability_zone != availability_zone) return false;
  return parts <= 1 || Hash64(server.instance) % parts == part;
}

}  // namespace knapweedstile::serving
