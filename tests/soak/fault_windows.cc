#include "fault_windows.h"

#include <algorithm>
#include <utility>

namespace knapweedstile::soak {

void FaultWindows::Add(std::string scope, TimePoint from, TimePoint until) {
  windows_.push_back({std::move(scope), from, until});
}

bool FaultWindows::FaultFree(std::string_view gateway, TimePoint from,
                             TimePoint until) const {
  return std::none_of(
      windows_.begin(), windows_.end(), [&](const Window& window) {
        const bool concerns = window.scope.empty() || window.scope == gateway;
        return concerns && window.from <= until &&
               window.until + kSettleTime >= from;
      });
}

bool FaultWindows::FaultFreeEverywhere(TimePoint from, TimePoint until) const {
  return std::none_of(
      windows_.begin(), windows_.end(), [&](const Window& window) {
        return window.from <= until && window.until + kSettleTime >= from;
      });
}

}  // namespace knapweedstile::soak
