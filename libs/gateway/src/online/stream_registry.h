#ifndef KNAPWEEDSTILE_GATEWAY_STREAM_REGISTRY_H_
#define KNAPWEEDSTILE_GATEWAY_STREAM_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "serving/stream_origin.h"
#include "serving/stream_origins.h"

namespace knapweedstile::gateway {

// Knows at which service and software version a stream began, also if another
// gateway began it.
//
// Guards against a stream that continues at another software version when its
// caller returns to any gateway. The gateway that begins a stream sends its
// origin to a few others before the caller gets the first event, so that the
// origin outlives that gateway; the gateway that the caller returns to asks
// these.
class StreamRegistry {
 public:
  // Called with the origin, or none if no gateway that was asked knows it.
  using FindCallback =
      std::function<void(const std::optional<serving::StreamOrigin>&)>;
  struct Callbacks {
    // Addresses of the gateways that keep the origin of the stream.
    std::function<std::vector<std::string>(uint64_t stream)> keepers;
    std::function<void(const std::string& address, const std::string& datagram)>
        send;
  };

  explicit StreamRegistry(Callbacks callbacks)
      : callbacks_(std::move(callbacks)) {}

  // The first event of the stream is about to be sent to its caller.
  void OnStreamBegan(const std::string& request_id,
                     const serving::StreamOrigin& origin, TimePoint now);
  // Finds the origin of the stream whose first event that request brought.
  // Calls back at once if it is known here, otherwise within kFindTimeout.
  void Find(const std::string& request_id, TimePoint now, FindCallback done);
  void OnDatagram(std::string_view datagram, const std::string& sender,
                  TimePoint now);
  // Asks again, and ends what has taken too long. Called every 20 ms.
  void Run(TimePoint now);

  size_t known() const noexcept { return origins_.size(); }

 private:
  // Far below a latency objective, and many times a round trip.
  static constexpr std::chrono::milliseconds kFindTimeout{250};
  static constexpr std::chrono::milliseconds kAskAgain{60};

  struct Search {
    std::vector<FindCallback> done;
    std::vector<std::string> asked;  // gateways that have not answered
    TimePoint ask_again_at;
    TimePoint expires_at;
  };

  void Ask(uint64_t stream, const std::vector<std::string>& gateways);
  void End(uint64_t stream, const std::optional<serving::StreamOrigin>& origin);

  Callbacks callbacks_;
  serving::StreamOrigins origins_;
  std::unordered_map<uint64_t, Search> searches_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STREAM_REGISTRY_H_
