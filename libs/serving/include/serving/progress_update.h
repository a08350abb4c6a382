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
  // The output continues the one up to this event; zero: it is the whole one.
  uint64_t after_event = 0;
  // Hash of the output up to that event: two runs of an item count their events
  // alike, but an output consists of the events of one.
  uint64_t after_hash = 0;
  // Service and software version of the servers that produced the output.
  std::string service;
  std::string software;
  std::string output;  // data of the events up to `last_event`, each after the
                       // first preceded by a line feed
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_PROGRESS_UPDATE_H_
