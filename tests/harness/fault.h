#ifndef KNAPWEEDSTILE_HARNESS_FAULT_H_
#define KNAPWEEDSTILE_HARNESS_FAULT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::harness {

enum class FaultMode {
  kPass,
  kCut,             // resets the connection at both ends
  kFreeze,          // forwards no bytes; both ends stay open
  kFreezeToServer,  // freezes one direction only
  kFreezeToClient,
  kDelay,       // delays every chunk
  kDropAnswer,  // forwards the request, resets before the response
};

// What happens to a connection once `after_bytes` more bytes have passed
// through it.
struct Fault {
  FaultMode mode = FaultMode::kPass;
  std::chrono::milliseconds delay{0};
  uint64_t after_bytes = 0;
  // Later faults do not change the connection, as when a device between the two
  // ends has lost track of it. New connections are not affected.
  bool for_good = false;
};

}  // namespace knapweedstile::harness

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 7>
    kEnumNames<harness::FaultMode> = {
        "pass",  "cut",        "freeze", "freeze_to_server", "freeze_to_client",
        "delay", "drop_answer"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_HARNESS_FAULT_H_
