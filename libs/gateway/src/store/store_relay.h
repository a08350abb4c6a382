#ifndef KNAPWEEDSTILE_GATEWAY_STORE_RELAY_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.h"
#include "http/client.h"
#include "http/server_event.h"
#include "platform/store_answer.h"
#include "platform/store_request.h"

namespace knapweedstile::gateway {

// Calls to the store through another entry that still reaches it.
//
// Failure guarded against: the store turns some entries away, or cannot be
// reached from them, while it serves the others. Callers of those entries then
// had all jobs refused, and finished items waited there, for as long as that
// lasted. Creating a record is idempotent and reading is harmless, so both may
// take this way; a missing answer means unknown, as on the direct way.
class StoreRelay {
 public:
  using Callback = std::function<void(platform::StoreAnswer&&)>;
  struct Callbacks {
    // "IP:PORT" of a live entry that reaches the store, or empty.
    std::function<std::string()> peer_address;
    // Performs a call directly, for another entry.
    std::function<void(platform::StoreCall&&, TimePoint deadline, Callback)>
        perform;
    // Answers another entry's request.
    std::function<void(ExchangeId, std::string body)> respond;
  };

  StoreRelay(boost::asio::io_context& io, Callbacks ports);

  static bool IsRelayTarget(std::string_view target);
  static bool MayRelay(const platform::StoreCall& call);

  // Whether an entry is known that would pass calls on.
  bool usable() const { return !callbacks_.peer_address().empty(); }
  // Exactly one answer follows.
  void Call(const platform::StoreCall& call, TimePoint deadline,
            Callback callback);
  // Another entry asks for a call.
  void OnRequest(const http::RequestEvent& request);

 private:
  void OnEvent(http::ClientEvent&& event);

  Callbacks callbacks_;
  uint64_t last_exchange_ = 0;
  std::unordered_map<ExchangeId, Callback> pending_calls_;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_RELAY_H_
