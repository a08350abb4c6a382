#include "store/store_calls.h"

#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "store/store_relay.h"

namespace knapweedstile::gateway {

using platform::StoreAnswer;
using platform::StoreOutcome;

namespace {

// How long an answer shows that the store is available. Less than the time by
// which a response may be late: when the first call of an outage fails, all
// answers are older.
constexpr std::chrono::milliseconds kAnswerValidity{600};

}  // namespace

StoreCalls::StoreCalls(boost::asio::io_context& io, const std::string& address)
    : client_(io, address,
              [this](StoreAnswer&& answer) { OnAnswer(std::move(answer)); }) {}

void StoreCalls::Call(platform::StoreCall&& call, TimePoint deadline,
                      Callback callback) {
  const uint64_t token = ++last_token_;
  callbacks_.emplace(token, std::move(callback));
  client_.Call({.token = token, .call = std::move(call), .deadline = deadline});
}

void StoreCalls::CallDirectOrRelayed(platform::StoreCall&& call,
                                     TimePoint deadline, Callback callback) {
  const bool relayed =
      !available_ && relay_ && relay_->usable() && StoreRelay::MayRelay(call);
  if (!relayed) return Call(std::move(call), deadline, std::move(callback));
  relay_->Call(call, deadline, std::move(callback));
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
  auto found = callbacks_.extract(answer.token);
  UpdateAvailability(answer);
  if (!found.empty()) found.mapped()(std::move(answer));
}

void StoreCalls::UpdateAvailability(const StoreAnswer& answer) {
  const bool failed = answer.outcome == StoreOutcome::kNotSent ||
                      answer.outcome == StoreOutcome::kUnknown ||
                      answer.outcome == StoreOutcome::kThrottled;
  if (!failed && answer.token > last_answered_.token) {
    last_answered_ = {.token = answer.token, .at = MonotonicNow()};
  }
  // Guards against a watch that is lost on a connection gone silent: its
  // deadline passes many seconds later, when other calls are answered again.
  const bool outdated = answer.outcome == StoreOutcome::kUnknown &&
                        answer.token < last_answered_.token &&
                        MonotonicNow() - last_answered_.at < kAnswerValidity;
  if (outdated && available_) {
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
