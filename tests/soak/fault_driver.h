#ifndef KNAPWEEDSTILE_SOAK_FAULT_DRIVER_H_
#define KNAPWEEDSTILE_SOAK_FAULT_DRIVER_H_

#include <map>
#include <string>
#include <vector>

#include "batch_traffic.h"
#include "harness/fault.h"
#include "planned_fault.h"
#include "soak_site.h"
#include "write_fates.h"

namespace knapweedstile::soak {

// Injects planned faults into the deployment.
class FaultDriver {
 public:
  FaultDriver(SoakSite& site, BatchTraffic& batch,
              std::vector<PlannedFault> plan);

  // Injects every fault that is due `elapsed` after traffic started.
  void Run(std::chrono::milliseconds elapsed, TimePoint now);
  bool done() const noexcept { return next_ == plan_.size(); }
  // Ends every fault that is still active.
  void ClearFaults(TimePoint now);
  // Number of injected faults by kind.
  const std::map<std::string, int>& counts() const noexcept { return counts_; }

 private:
  void Inject(const PlannedFault& fault, TimePoint now);
  void InjectGatewayFault(const PlannedFault& fault, TimePoint now);
  void InjectLinkFault(const PlannedFault& fault, TimePoint now);
  void InjectStoreFault(const PlannedFault& fault, TimePoint now);
  void InjectServerFault(const PlannedFault& fault, TimePoint now);
  void CrashServers(const PlannedFault& fault, TimePoint now);
  void LoseService(const PlannedFault& fault, TimePoint now);
  void ApplyLinkFault(const std::string& link, const std::string& scope,
                      const harness::Fault& link_fault,
                      const PlannedFault& fault, TimePoint now);
  void PauseGateway(const std::string& gateway, const PlannedFault& fault,
                    TimePoint now);

  SoakSite& site_;
  BatchTraffic& batch_;
  WriteFates write_fates_;
  std::vector<PlannedFault> plan_;
  size_t next_ = 0;
  std::map<std::string, int> counts_;
  // End of each active fault. Of overlapping faults on the same target, the one
  // that ends last restores normal operation.
  std::map<std::string, TimePoint> link_fault_until_;
  std::map<std::string, TimePoint> paused_until_;
  TimePoint store_fault_until_{};
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_FAULT_DRIVER_H_
