#include "online/waiting_calls.h"

#include <catch2/catch.hpp>

#include "gateway_metrics.h"
#include "observe/metrics.h"
#include "online/online_call.h"

namespace knapweedstile::gateway {
namespace {

using admission::Standing;
using admission::WaitVerdict;
using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr uint32_t kSlots = 16;

struct OneService {
  observe::Metrics metrics;
  WaitingCalls waiting;
  TimePoint now = kStart;
  std::map<uint64_t, OnlineCall> calls;

  OneService() : waiting((DeclareMetrics(metrics), metrics), 1) {}

  OnlineCall& Arrive(uint64_t id, milliseconds objective = milliseconds(600)) {
    OnlineCall& call = calls[id];
    call.caller = ExchangeId(id);
    call.fingerprint = id;
    call.service = "llm";
    call.route.name = "chat";
    call.route.latency_objective = objective;
    call.request.received_at = now;
    call.deadline = now + milliseconds(5000);
    waiting.OnArrival(call, now);
    return call;
  }
  WaitVerdict Offer(OnlineCall& call) {
    return waiting.Offer(call, Standing::kWithinShare, kSlots, now, now);
  }
  // Half a second of saturation, in which a slot becomes free each 20 ms.
  void Saturate() {
    for (int i = 0; i < 25; ++i) {
      now += milliseconds(20);
      OnlineCall& call = Arrive(1000 + i);
      if (Offer(call) == WaitVerdict::kWaits) waiting.Remove(call, now);
      waiting.OnFreed("llm", now);
    }
  }
};

}  // namespace

TEST_CASE("requests wait once slots were seen to become free") {
  OneService service;
  CHECK(service.Offer(service.Arrive(1)) == WaitVerdict::kNoRate);
  service.Saturate();
  OnlineCall& call = service.Arrive(2);
  CHECK(service.Offer(call) == WaitVerdict::kWaits);
  CHECK(service.waiting.ServicesWithWaiting() ==
        std::vector<std::string>{"llm"});
  service.now += milliseconds(30);
  service.waiting.Remove(call, service.now);
  CHECK(call.waited == milliseconds(30));
  CHECK_FALSE(service.waiting.HasWaiting("llm"));
}

// Guards against callers that are held until they can no longer be served
// elsewhere.
TEST_CASE("waiting requests are rejected long before their deadline") {
  OneService service;
  service.Saturate();
  uint64_t id = 0;
  while (service.Offer(service.Arrive(++id)) == WaitVerdict::kWaits) {
  }
  const size_t waiting = service.waiting.size();
  REQUIRE(waiting >= 3);
  service.now += milliseconds(150);
  CHECK(service.waiting.TakeHopeless("llm", kSlots, service.now, service.now)
            .size() == waiting);
  CHECK(service.waiting.size() == 0);
}

// Guards against waiting for servers that stand still: the rate falls, and
// those who no longer fit leave before their own time ends.
TEST_CASE("when slots stop becoming free, the last in the queue leave early") {
  OneService service;
  service.Saturate();
  uint64_t id = 0;
  while (service.Offer(service.Arrive(++id, milliseconds(4000))) ==
         WaitVerdict::kWaits) {
  }
  const size_t waiting = service.waiting.size();
  REQUIRE(waiting >= 10);
  size_t left_early = 0;
  for (int check = 0; check < 25; ++check) {
    service.now += milliseconds(20);
    left_early +=
        service.waiting.TakeHopeless("llm", kSlots, service.now, service.now)
            .size();
  }
  CHECK(left_early > waiting / 4);
  CHECK(service.waiting.size() > 0);
}

// Guards against waiting for servers that are gone.
TEST_CASE("when the last server has gone, nobody waits") {
  OneService service;
  service.Saturate();
  REQUIRE(service.Offer(service.Arrive(1)) == WaitVerdict::kWaits);
  const auto rejected =
      service.waiting.TakeHopeless("llm", 0, service.now, service.now);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected[0].cause == WaitVerdict::kNoRate);
  CHECK(service.waiting.Offer(service.Arrive(2), Standing::kWithinShare, 0,
                              service.now,
                              service.now) == WaitVerdict::kNoRate);
}

// Guards against late responses: a request whose response takes most of the
// objective has no time to wait.
TEST_CASE("a route with slow first events does not wait") {
  OneService service;
  service.Saturate();
  OnlineCall& slow = service.Arrive(1);
  slow.sent_at = service.now - milliseconds(590);
  service.waiting.OnResponse(slow, service.now);
  CHECK(service.Offer(service.Arrive(2)) == WaitVerdict::kTooLong);
}

TEST_CASE("a caller that returns as asked goes before new ones") {
  OneService service;
  service.Saturate();
  const OnlineCall& rejected = service.Arrive(7);
  const Duration after = service.waiting.PromiseReturn(
      rejected, milliseconds(100), kSlots, service.now);
  CHECK(service.waiting.promised() == 1);
  CHECK(service.waiting.Promised(service.now).size() == 1);
  service.now += after;
  service.Saturate();
  REQUIRE(service.Offer(service.Arrive(2)) == WaitVerdict::kWaits);
  OnlineCall& again = service.Arrive(7);
  CHECK(again.returns_as_asked);
  REQUIRE(service.Offer(again) == WaitVerdict::kWaits);
  CHECK(service.waiting.Waiting("llm").front() == ExchangeId(7));
  CHECK(service.metrics.Render().find(
            "knap_returns_total{outcome=\"as_asked\"} 1") != std::string::npos);
}

// Guards against a workspace that takes the place of another one, whose callers
// send the same request.
TEST_CASE("a place belongs to the workspace whose caller was rejected") {
  OneService service;
  OnlineCall& rejected = service.Arrive(7);
  rejected.workspace = "north";
  service.now +=
      service.waiting.PromiseReturn(rejected, {}, kSlots, service.now);
  OnlineCall& stranger = service.calls[8];
  stranger.workspace = "south";
  stranger.fingerprint = 7;
  stranger.service = "llm";
  service.waiting.OnArrival(stranger, service.now);
  CHECK_FALSE(stranger.returns_as_asked);
  CHECK(service.Arrive(7).returns_as_asked);
}

}  // namespace knapweedstile::gateway
