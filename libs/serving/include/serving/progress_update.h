#ifndef KNAPWEEDSTILE_SERVING_PROGRESS_UPDATE_H_
#define KNAPWEEDSTILE_SERVING_PROGRESS_UPDATE_H_

#include <cstdint>
#include <string>

namespace knapweedstile::serving {

// Progress of one item, sent to the gateway that would take it over.
struct ProgressUpdate {
  std::string job;
  std::string item;
  uint64_t last_event = 0;
  std::string output;  // data of all events up to it, joined by line feeds
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_PROGRESS_UPDATE_H_
