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

// One planned request.
struct Arrival {
  Duration at{};  // from the start of the run
  ArrivalKind kind = ArrivalKind::kCompletion;
  std::string workspace;
  std::string caller;
  std::string prompt;
  uint32_t max_tokens = 0;
  bool stream = false;
  bool leaves = false;  // closes its connection after the first token
};

// What a stand-in engine answers to this arrival: the prompt's first words.
std::string ExpectedAnswer(const Arrival& arrival);

}  // namespace knapweedstile::load

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3> kEnumNames<load::ArrivalKind> =
    {"completion", "chat", "service"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_LOAD_ARRIVAL_H_
