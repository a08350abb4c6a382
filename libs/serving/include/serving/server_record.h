#ifndef KNAPWEEDSTILE_SERVING_SERVER_RECORD_H_
#define KNAPWEEDSTILE_SERVING_SERVER_RECORD_H_

#include <cstdint>
#include <string>

namespace knapweedstile::serving {

// A backend server as it registers itself. A process that starts again may have
// a new `instance`, or the same one and a new `start`; an address may later
// belong to another service.
struct ServerRecord {
  std::string instance;
  uint64_t start = 0;  // of the process, Unix milliseconds; zero: not told
  std::string service;
  std::string address;  // "IP:PORT"
  std::string availability_zone;
  std::string software;   // its version, as the server names it
  uint32_t slots = 1;     // requests that run at once
  bool draining = false;  // leaving: must get no new work
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVER_RECORD_H_
