#include "harness/caller.h"

#include <utility>

#include "base/clock.h"

namespace knapweedstile::harness {
namespace {

constexpr std::chrono::seconds kTimeout{60};
constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::milliseconds kRetryInterval{20};

}  // namespace

Caller::Caller(http::ClientSettings settings)
    : client_(io_, settings, [this](http::ClientEvent&& event) {
        OnEvent(std::move(event));
      }) {}

void Caller::OnEvent(http::ClientEvent&& event) {
  if (auto* head = std::get_if<http::HeadEvent>(&event)) {
    answers_[head->exchange.value()].head = std::move(*head);
  } else if (auto* body = std::get_if<http::BodyEvent>(&event)) {
    answers_[body->exchange.value()].streamed += body->data;
  } else {
    auto& end = std::get<http::EndEvent>(event);
    answers_[end.exchange.value()].end = std::move(end);
  }
}

ExchangeId Caller::Begin(http::ClientRequest&& request) {
  const ExchangeId exchange(++last_exchange_);
  request.exchange = exchange;
  answers_[exchange.value()];
  client_.Send(std::move(request));
  return exchange;
}

bool Caller::RunUntil(const std::function<bool()>& done) {
  const TimePoint deadline = MonotonicNow() + kTimeout;
  while (!done()) {
    if (MonotonicNow() > deadline) return false;
    io_.restart();
    io_.run_one_for(kPollInterval);
  }
  return true;
}

bool Caller::RunUntilEnd(ExchangeId exchange) {
  return RunUntil([&] { return answer(exchange).end.has_value(); });
}

void Caller::RunFor(std::chrono::milliseconds time) {
  const TimePoint end = MonotonicNow() + time;
  RunUntil([end] { return MonotonicNow() >= end; });
}

http::EndEvent Caller::Call(http::ClientRequest&& request) {
  const ExchangeId exchange = Begin(std::move(request));
  if (!RunUntilEnd(exchange)) {
    Cancel(exchange);
    return {.exchange = exchange,
            .outcome = http::ClientOutcome::kDeadline,
            .message = "the test harness timed out"};
  }
  return *answer(exchange).end;
}

http::EndEvent Caller::Get(const std::string& address,
                           const std::string& target) {
  return Call({.address = address, .target = target});
}

http::EndEvent Caller::Post(const std::string& address,
                            const std::string& target,
                            const std::string& body) {
  return Call(
      {.address = address, .method = "POST", .target = target, .body = body});
}

http::EndEvent Caller::Put(const std::string& address,
                           const std::string& target, const std::string& body) {
  return Call(
      {.address = address, .method = "PUT", .target = target, .body = body});
}

bool Caller::GetUntil(
    const std::string& address, const std::string& target,
    const std::function<bool(const http::EndEvent&)>& condition) {
  const TimePoint deadline = MonotonicNow() + kTimeout;
  while (!condition(Get(address, target))) {
    if (MonotonicNow() > deadline) return false;
    RunFor(kRetryInterval);
  }
  return true;
}

}  // namespace knapweedstile::harness
