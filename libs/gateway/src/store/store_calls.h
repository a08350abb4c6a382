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

// Calls to the platform's store with a callback each, and what their outcomes
// say of the store.
class StoreCalls {
 public:
  using Callback = std::function<void(platform::StoreAnswer&&)>;

  StoreCalls(boost::asio::io_context& io, const std::string& address);

  void Call(platform::StoreCall&& call, TimePoint deadline, Callback callback);
  // As Call(), but through another entry while the store does not answer here.
  void CallDirectOrRelayed(platform::StoreCall&& call, TimePoint deadline,
                           Callback callback);
  void SetRelay(StoreRelay* relay) noexcept { relay_ = relay; }
  void WriteStatus(const std::string& kind, const std::string& name,
                   uint64_t if_version, const std::string& value,
                   TimePoint deadline, Callback callback);

  // Called when the store answers again after it was lost.
  void SetRegainedHandler(std::function<void()> handler) {
    regained_handler_ = std::move(handler);
  }

  // Whether calls get through, here or through another entry.
  bool reachable() const;
  // False while the last calls went unanswered or were turned away.
  bool available() const noexcept { return available_; }
  // When the store was last regained; the start does not count.
  TimePoint available_since() const noexcept { return available_since_; }
  uint64_t calls() const noexcept { return last_token_; }

 private:
  void OnAnswer(platform::StoreAnswer&& answer);
  void UpdateAvailability(const platform::StoreAnswer& answer);

  std::unordered_map<uint64_t, Callback> callbacks_;
  uint64_t last_token_ = 0;
  bool available_ = true;
  TimePoint available_since_{};
  std::function<void()> regained_handler_;
  StoreRelay* relay_ = nullptr;
  users_platform::StoreClient client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_CALLS_H_
