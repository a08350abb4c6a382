#ifndef KNAPWEEDSTILE_SOAK_SOAK_RUN_H_
#define KNAPWEEDSTILE_SOAK_SOAK_RUN_H_

#include <cstdint>

#include "fault_driver.h"
#include "fault_windows.h"
#include "findings.h"
#include "online_traffic.h"
#include "soak_site.h"
#include "soak_size.h"

namespace knapweedstile::soak {

// One run: traffic under a seeded plan of faults, then a phase without faults,
// then checks of all promises.
class SoakRun {
 public:
  // `slack` is added to each time bound to allow for a busy test machine.
  SoakRun(uint64_t seed, const SoakSize& size, std::chrono::milliseconds slack);

  // Prints the results; returns whether every promise was kept.
  bool Run();

 private:
  void RunUntil(TimePoint end, bool faults);
  void Step(TimePoint now);
  void Settle();
  void Probe();
  void Finish();
  void CheckPromises();
  void PrintReport() const;

  uint64_t seed_;
  std::chrono::milliseconds slack_;
  SoakSize size_;
  Findings findings_;
  SoakSite site_;
  OnlineTraffic online_;
  BatchTraffic batch_;
  FaultDriver driver_;
  TimePoint began_at_{};
  TimePoint last_step_at_{};
  int late_steps_ = 0;
  size_t first_probe_ = 0;  // index of the first probe in the requests
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_SOAK_RUN_H_
