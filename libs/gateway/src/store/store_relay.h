#ifndef KNAPWEEDSTILE_GATEWAY_STORE_RELAY_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.h"
#include "http/client.h"
#include "http/server_event.h"
#include "platform/store_answer.h"
#include "platform/store_request.h"

namespace knapweedstile::gateway {

// Calls the store through a peer that can still reach it.
//
// Guards against a store that rejects some gateways, or is unreachable from
// them, while it serves others. Without the relay, all job submissions on those
// gateways were rejected, and finished items waited there, for the whole
// outage. Creating a record is idempotent and reading has no side effects, so
// both may be relayed; a missing response means that the outcome is unknown, as
// for direct calls.
class StoreRelay {
 public:
  using Callback = std::function<void(platform::StoreAnswer&&)>;
  struct Callbacks {
    // Returns "IP:PORT" of a live peer that reaches the store, or an empty
    // string. One of `avoided` only if there is no other.
    std::function<std::string(const std::set<std::string>& avoided)>
        peer_address;
    // Performs a call directly, on behalf of a peer.
    std::function<void(platform::StoreCall&&, TimePoint deadline, Callback)>
        perform;
    // Responds to a peer's request.
    std::function<void(ExchangeId, std::string body)> respond;
  };

  StoreRelay(boost::asio::io_context& io, Callbacks callbacks);

  static bool IsRelayTarget(std::string_view target);
  static bool MayRelay(const platform::StoreCall& call);

  // Whether a peer is available to relay calls.
  bool usable() const { return !callbacks_.peer_address({}).empty(); }
  // Calls `callback` exactly once.
  void Call(const platform::StoreCall& call, TimePoint deadline,
            Callback callback);
  // Handles a peer's request to relay a call.
  void OnRequest(const http::RequestEvent& request);

 private:
  void OnEvent(http::ClientEvent&& event);
  std::set<std::string> AvoidedPeers(TimePoint now);

  Callbacks callbacks_;
  uint64_t last_exchange_ = 0;
  struct PendingCall {
    std::string address;
    Callback callback;
  };
  std::unordered_map<ExchangeId, PendingCall> pending_calls_;
  // Peers whose last relayed call failed, until they are tried again.
  std::map<std::string, TimePoint> avoided_until_;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_RELAY_H_
