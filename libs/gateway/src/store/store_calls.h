#ifndef KNAPWEEDSTILE_GATEWAY_STORE_CALLS_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "platform/store_answer.h"
#include "platform/store_request.h"
#include "users_platform/store_client.h"

namespace knapweedstile::gateway {

class StoreRelay;

// Calls the platform's store, with a callback for each call, and derives the
// store's availability from the outcomes.
class StoreCalls {
 public:
  using Callback = std::function<void(platform::StoreAnswer&&)>;

  StoreCalls(boost::asio::io_context& io, const std::string& address);

  // Returns the number of the call, for Abandon(). Numbers increase.
  uint64_t Call(platform::StoreCall&& call, TimePoint deadline,
                Callback callback);
  // The caller no longer needs the answer; its callback is not run.
  void Abandon(uint64_t call) { callbacks_.erase(call); }
  // Like Call(), but while the store is unavailable to this gateway, calls that
  // StoreRelay::MayRelay() allows are relayed through a peer, if there is one.
  void CallDirectOrRelayed(platform::StoreCall&& call, TimePoint deadline,
                           Callback callback);
  void SetRelay(StoreRelay* relay) noexcept { relay_ = relay; }
  // Replaces the status of the object `name`, and nothing else of it, if its
  // version is still `if_version`.
  void WriteStatus(const std::string& kind, const std::string& name,
                   uint64_t if_version, const std::string& value,
                   TimePoint deadline, Callback callback);

  // Sets the handler that is called when the store responds again after an
  // outage.
  void SetRegainedHandler(std::function<void()> handler) {
    regained_handler_ = std::move(handler);
  }

  // Whether the outcome tells that the store can't be used now.
  static bool IsFailure(platform::StoreOutcome outcome) noexcept;
  // Whether calls can reach the store, directly or through a peer.
  bool reachable() const;
  // False if the latest direct call could not be sent, got no response or was
  // throttled. An abandoned call without a response does not count if a later
  // call was answered.
  bool available() const noexcept { return available_; }
  // When the store last became available after an outage; zero if there was no
  // outage since the start.
  TimePoint available_since() const noexcept { return available_since_; }
  // Number of direct calls so far.
  uint64_t call_count() const noexcept { return last_token_; }
  // Number of objects so far of which a part could not be read.
  uint64_t unreadable_objects() const noexcept { return unreadable_objects_; }

 private:
  void OnAnswer(platform::StoreAnswer&& answer);
  void UpdateAvailability(const platform::StoreAnswer& answer, bool abandoned);

  std::unordered_map<uint64_t, Callback> callbacks_;
  uint64_t last_token_ = 0;
  uint64_t last_answered_token_ = 0;
  uint64_t unreadable_objects_ = 0;
  bool available_ = true;
  TimePoint available_since_{};
  std::function<void()> regained_handler_;
  StoreRelay* relay_ = nullptr;
  users_platform::StoreClient client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_CALLS_H_
