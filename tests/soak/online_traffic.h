#ifndef KNAPWEEDSTILE_SOAK_ONLINE_TRAFFIC_H_
#define KNAPWEEDSTILE_SOAK_ONLINE_TRAFFIC_H_

#include <map>
#include <string>
#include <vector>

#include "base/rng.h"
#include "base/time.h"
#include "online_request.h"
#include "soak_site.h"

namespace knapweedstile::soak {

// Online callers: they keep using open connections until the gateway is gone,
// go where it is ready, and now and then hang up.
class OnlineTraffic {
 public:
  OnlineTraffic(SoakSite& site, uint64_t seed, int per_second);

  // Sends what is due by `now` and takes in what has come back.
  void Run(TimePoint now);
  // Takes in only.
  void Collect(TimePoint now);
  // One request of each kind to a gateway.
  void Probe(const std::string& gateway, TimePoint now);

  const std::vector<OnlineRequest>& requests() const noexcept {
    return requests_;
  }
  size_t open() const noexcept { return open_.size(); }

 private:
  struct Open {
    size_t index = 0;  // of the request
    TimePoint cancel_at = kNever;
  };

  // A patient caller neither hangs up nor sets a short deadline.
  void Send(OnlineKind kind, const std::string& gateway, bool patient,
            TimePoint now, const std::string& key);
  std::string PickKey();

  SoakSite& site_;
  Rng rng_;
  Rng key_rng_;
  int per_second_;
  TimePoint next_at_{};
  TimePoint next_hot_at_{};
  uint64_t last_ = 0;
  std::vector<OnlineRequest> requests_;
  std::map<ExchangeId, Open> open_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_ONLINE_TRAFFIC_H_
