#ifndef KNAPWEEDSTILE_LOAD_ARRIVAL_H_
#define KNAPWEEDSTILE_LOAD_ARRIVAL_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"

namespace knapweedstile::load {

enum class ArrivalKind { kCompletion, kChat, kService };

// One planned request of a load test.
struct Arrival {
  Duration at{};  // since the start of the run
  ArrivalKind kind = ArrivalKind::kCompletion;
  std::string workspace;
  std::string caller;
  std::string prompt;
  uint32_t max_tokens = 0;
  bool stream = false;
  bool disconnects = false;  // closes its connection after the first token
};

// Returns the text with which a simulated engine responds to this request: the
// first max_tokens words of the prompt, each followed by a space.
std::string ExpectedResponse(const Arrival& arrival);

}  // namespace knapweedstile::load

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3> kEnumNames<load::ArrivalKind> =
    {"completion", "chat", "service"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_LOAD_ARRIVAL_H_
