#ifndef KNAPWEEDSTILE_SERVING_STREAM_EVENT_H_
#define KNAPWEEDSTILE_SERVING_STREAM_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedstile::serving {

// One server-sent event.
struct StreamEvent {
  std::string_view
      raw;  // as received, with its empty line and what came before it
  std::optional<uint64_t> id;  // absent when the event carries none
  std::string data;            // its data lines, joined by line feeds
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_STREAM_EVENT_H_
