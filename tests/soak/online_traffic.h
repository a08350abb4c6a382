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

// Simulates online callers: they send requests to ready gateways, reuse open
// connections until the gateway terminates, and cancel some requests.
class OnlineTraffic {
 public:
  OnlineTraffic(SoakSite& site, uint64_t seed, int per_second);

  // Sends the requests due by `now` and collects responses.
  void Run(TimePoint now);
  // Collects responses without sending requests.
  void Collect(TimePoint now);
  // Sends one request of each kind, except kExtra, to the gateway.
  void Probe(const std::string& gateway, TimePoint now);

  const std::vector<OnlineRequest>& requests() const noexcept {
    return requests_;
  }
  size_t open() const noexcept { return open_.size(); }

 private:
  struct OpenRequest {
    size_t index = 0;  // into requests_
    TimePoint cancel_at = kNever;
  };

  // A patient caller neither cancels nor sets a short deadline.
  void Send(OnlineKind kind, const std::string& gateway, bool patient,
            TimePoint now, const std::string& key);
  std::string PickKey();
  // Continues a stream that broke off, or that its caller has left, at any
  // gateway.
  void Resume(const OnlineRequest& broken, TimePoint now);
  void Begin(http::ClientRequest&& sent, OnlineRequest&& request, bool patient,
             TimePoint now);

  SoakSite& site_;
  Rng rng_;
  Rng key_rng_;
  Rng return_rng_;
  Rng prompt_rng_;
  int per_second_;
  TimePoint next_at_{};
  TimePoint next_hot_at_{};
  uint64_t last_request_ = 0;
  std::vector<OnlineRequest> requests_;
  std::map<ExchangeId, OpenRequest> open_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_ONLINE_TRAFFIC_H_
