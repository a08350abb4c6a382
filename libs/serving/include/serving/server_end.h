#ifndef KNAPWEEDSTILE_SERVING_SERVER_END_H_
#define KNAPWEEDSTILE_SERVING_SERVER_END_H_

#include "base/time.h"
#include "serving/usage_by_process.h"

namespace knapweedstile::serving {

// The end of a server's process, whatever it worked on.
struct ServerEnd {
  ServerProcessId process;
  TimePoint ended_at;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVER_END_H_
