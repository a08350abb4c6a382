#ifndef KNAPWEEDSTILE_SOAK_WRITE_FATES_H_
#define KNAPWEEDSTILE_SOAK_WRITE_FATES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "batch_traffic.h"
#include "planned_fault.h"
#include "soak_site.h"

namespace knapweedstile::soak {

// Single writes of jobs that get no answer: each is done at once or late, while
// its job may be ended or its writer killed.
class WriteFates {
 public:
  WriteFates(SoakSite& site, BatchTraffic& batch);

  // The next write of an accepted job that was not ended meets `fault`.
  void Add(const PlannedFault& fault);
  void Clear() { fates_.clear(); }

 private:
  struct Fate {
    std::chrono::milliseconds delay{0};
    bool ends_job = false;
    bool kills_writer = false;
  };

  std::optional<std::chrono::milliseconds> OnWrite(const std::string& name,
                                                   std::string_view host);

  SoakSite& site_;
  BatchTraffic& batch_;
  std::vector<Fate> fates_;  // of writes that have not been sent yet
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_WRITE_FATES_H_
