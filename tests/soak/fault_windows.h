#ifndef KNAPWEEDSTILE_SOAK_FAULT_WINDOWS_H_
#define KNAPWEEDSTILE_SOAK_FAULT_WINDOWS_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace knapweedstile::soak {

// Time windows in which faults were active or the test's own thread was
// delayed, and the gateways they affected. Checks of promises with a time bound
// skip requests that overlap a window; all other promises are always checked.
class FaultWindows {
 public:
  // `scope`: name of the affected gateway, or empty for the whole deployment.
  void Add(std::string scope, TimePoint from, TimePoint until);
  // Whether no window that affects the gateway overlaps `from` to `until`. Each
  // window is extended by kSettleTime.
  bool FaultFree(std::string_view gateway, TimePoint from,
                 TimePoint until) const;
  // The same for the whole deployment.
  bool FaultFreeEverywhere(TimePoint from, TimePoint until) const;

 private:
  // Connections and each gateway's view of its peers and servers recover within
  // this time after a fault.
  static constexpr std::chrono::milliseconds kSettleTime{3500};

  struct Window {
    std::string scope;
    TimePoint from;
    TimePoint until;
  };
  std::vector<Window> windows_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_FAULT_WINDOWS_H_
