#ifndef KNAPWEEDSTILE_SERVING_SERVER_FILTER_H_
#define KNAPWEEDSTILE_SERVING_SERVER_FILTER_H_

#include <span>
#include <string_view>

#include "base/id.h"

namespace knapweedstile::serving {

// The backend servers of a service that may get a request.
struct ServerFilter {
  std::span<const BackendServerId> excluded;
  // The only software version that may run it; empty: any.
  std::string_view software;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVER_FILTER_H_
