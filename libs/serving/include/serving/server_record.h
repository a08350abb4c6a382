#ifndef KNAPWEEDSTILE_SERVING_SERVER_RECORD_H_
#define KNAPWEEDSTILE_SERVING_SERVER_RECORD_H_

#include <cstdint>
#include <string>

namespace knapweedstile::serving {

// Registration of a backend server. A restarted process may have a new
// `instance`, or the same one and a new `start`. An address may later belong to
// another service.
struct ServerRecord {
  std::string instance;
  uint64_t start = 0;  // of the process, Unix milliseconds; zero: unknown
  std::string service;
  std::string address;  // "IP:PORT"
  std::string availability_zone;
  std::string software;   // version reported by the server
  uint32_t slots = 1;     // maximum of concurrent requests
  bool draining = false;  // shutting down: gets no new requests
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVER_RECORD_H_
