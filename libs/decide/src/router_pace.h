#ifndef KNAPWEEDSTILE_DECIDE_ROUTER_PACE_H_
#define KNAPWEEDSTILE_DECIDE_ROUTER_PACE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace knapweedstile::decide {

// How fast one backend server brings first output, compared with its peers, and
// whether it is left out for that.
//
// Load pattern: a server that answers everything, but late (a throttled VM, a
// failing device), or nothing at all on connections that went silent. Its load
// report looks as good as any. Without this rule its share of the requests is
// late for as long as it lasts, and with a subset of 20 servers that share is
// 5%, well inside the p99.
class RouterPace {
 public:
  // Commands.
  // First output came `after` its dispatch; what is usual for the target.
  void OnFirstOutput(TimePoint now, Duration after,
                     std::optional<double> usual_seconds, bool may_eject);
  // An attempt is later than nearly all answers of the target.
  void OnLate(TimePoint now, bool may_eject);
  void Reset() { *this = RouterPace(); }

  // Queries.
  bool Ejected(TimePoint now) const noexcept { return now < ejected_until_; }
  // After an ejection: one request at a time until it has proved itself.
  bool probing() const noexcept { return probes_left_ > 0; }
  // Mean seconds to first output; none while too few were seen.
  std::optional<double> mean_seconds() const noexcept;

 private:
  void Eject(TimePoint now) noexcept;

  double mean_seconds_ = 0;
  uint32_t answers_ = 0;
  uint32_t late_in_row_ = 0;
  uint32_t probes_left_ = 0;
  Duration hold_off_{};
  TimePoint ejected_until_ = TimePoint::min();
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ROUTER_PACE_H_
