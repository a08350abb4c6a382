#ifndef KNAPWEEDSTILE_DECIDE_ADMISSION_H_
#define KNAPWEEDSTILE_DECIDE_ADMISSION_H_

#include <cstddef>

#include "base/rng.h"
#include "base/time.h"

namespace knapweedstile::decide {

// How long a request of one target would wait here, and when a refused one
// should come back.
//
// Load pattern: demand above what the backend servers can do. Without it
// requests wait past their deadline and are then answered late, which costs
// capacity and helps nobody, and the refused ones return all at once.
//
// Ground: by Little's law the requests in service divided by their mean time
// there is the served rate, which follows a lost server at once.
class Admission {
 public:
  // An online attempt ended after this long with an answer.
  void OnServed(Duration in_service) noexcept;

  // Time until `ahead` requests have been served, with `in_service` of this
  // entry at the servers; zero while nothing has been measured.
  Duration WaitBehind(double ahead, size_t in_service) const noexcept;
  // When to come back: once the backlog is served, spread over as long again.
  TimePoint ComeBackAt(TimePoint now, size_t backlog, size_t in_service,
                       Rng& rng) const;

 private:
  double mean_seconds_in_service_ = 0;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ADMISSION_H_
