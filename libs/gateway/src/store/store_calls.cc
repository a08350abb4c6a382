#include "store/store_calls.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "store/store_relay.h"

namespace knapweedstile::gateway {

using platform::StoreAnswer;
using platform::StoreOutcome;

StoreCalls::StoreCalls(boost::asio::io_context& io, const std::string& address)
    : client_(io, address,
              [this](StoreAnswer&& answer) { OnAnswer(std::move(answer)); }) {}

uint64_t StoreCalls::Call(platform::StoreCall&& call, TimePoint deadline,
                          Callback callback) {
  const uint64_t token = ++last_token_;
  callbacks_.emplace(token, std::move(callback));
  client_.Call({.token = token, .call = std::move(call), .deadline = deadline});
  return token;
}

void StoreCalls::CallDirectOrRelayed(platform::StoreCall&& call,
                                     TimePoint deadline, Callback callback) {
  const bool relayed =
      !available_ && relay_ && relay_->usable() && StoreRelay::MayRelay(call);
  if (relayed) return relay_->Call(call, deadline, std::move(callback));
  Call(std::move(call), deadline, std::move(callback));
}

bool StoreCalls::IsFailure(StoreOutcome outcome) noexcept {
  return outcome == StoreOutcome::kNotSent ||
         outcome == StoreOutcome::kUnknown ||
         outcome == StoreOutcome::kThrottled;
}

bool StoreCalls::reachable() const {
  return available_ || (relay_ && relay_->usable());
}

void StoreCalls::WriteStatus(const std::string& kind, const std::string& name,
                             uint64_t if_version, const std::string& value,
                             TimePoint deadline, Callback callback) {
  const uint64_t token = ++last_token_;
  callbacks_.emplace(token, std::move(callback));
  client_.WriteStatus(token, kind, name, if_version, value, deadline);
}

void StoreCalls::OnAnswer(StoreAnswer&& answer) {
  unreadable_objects_ += answer.unreadable;
  auto found = callbacks_.extract(answer.token);
  const bool abandoned = found.empty();
  UpdateAvailability(answer, abandoned);
  if (!abandoned) found.mapped()(std::move(answer));
}

void StoreCalls::UpdateAvailability(const StoreAnswer& answer, bool abandoned) {
  const bool failed = IsFailure(answer.outcome);
  if (!failed) {
    last_answered_token_ = std::max(last_answered_token_, answer.token);
  }
  // Guards against a watch that is lost on a connection gone silent: its
  // deadline passes many seconds after the store has answered later calls.
  const bool outdated = abandoned && answer.outcome == StoreOutcome::kUnknown &&
                        answer.token < last_answered_token_;
  if (outdated) {
    return LogInfo("store_call_lost", {{"outcome", NameOf(answer.outcome)},
                                       {"reason", answer.message}});
  }
  if (available_ != failed) return;
  available_ = !failed;
  if (failed) {
    LogWarning("store_lost", {{"outcome", NameOf(answer.outcome)},
                              {"reason", answer.message}});
  } else {
    available_since_ = MonotonicNow();
    LogInfo("store_regained");
    if (regained_handler_) regained_handler_();
  }
}

}  // namespace knapweedstile::gateway
