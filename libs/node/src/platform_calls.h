#ifndef KNAPWEEDSTILE_NODE_PLATFORM_CALLS_H_
#define KNAPWEEDSTILE_NODE_PLATFORM_CALLS_H_

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "platform/store_answer.h"
#include "platform/store_request.h"

namespace knapweedstile::node {

// Several askers share one connection to the platform: gives each call a token
// of its own on the way out and its asker's token back on the way in.
class PlatformCalls {
 public:
  using Sink = std::function<void(platform::StoreRequest&&)>;
  using Handler = std::function<void(TimePoint, platform::StoreAnswer&&)>;

  explicit PlatformCalls(Sink sink) : sink_(std::move(sink)) {}

  // `handler` is called once, on the decision thread.
  void Call(platform::StoreRequest request, Handler handler) {
    const uint64_t asked = std::exchange(request.token, ++last_token_);
    open_.emplace(request.token, Open{asked, std::move(handler)});
    sink_(std::move(request));
  }

  void OnAnswer(TimePoint now, platform::StoreAnswer&& answer) {
    auto open = open_.extract(answer.token);
    if (!open) return;
    answer.token = open.mapped().asked;
    open.mapped().handler(now, std::move(answer));
  }

  size_t open_calls() const noexcept { return open_.size(); }

 private:
  struct Open {
    uint64_t asked = 0;
    Handler handler;
  };

  Sink sink_;
  uint64_t last_token_ = 0;
  std::unordered_map<uint64_t, Open> open_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_PLATFORM_CALLS_H_
