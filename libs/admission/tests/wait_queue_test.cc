#include "admission/wait_queue.h"

#include <catch2/catch.hpp>

namespace knapweedstile::admission {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr SlotFlow kFlow{.freed_per_second = 40, .offered_per_second = 60};

WaitRequest Request(uint64_t id, milliseconds start_in = milliseconds(500)) {
  return {.id = ExchangeId(id),
          .deadline = kNow + milliseconds(5000 + id),
          .start_by = kNow + start_in};
}

std::vector<uint64_t> Order(const WaitQueue& queue) {
  std::vector<uint64_t> ids;
  for (const ExchangeId id : queue.Ids()) ids.push_back(id.value());
  return ids;
}

}  // namespace

TEST_CASE("order: urgency, those that return as asked, earliest deadline") {
  WaitQueue queue;
  WaitRequest returns = Request(8);
  returns.returns_as_asked = true;
  WaitRequest less_urgent = Request(1);
  less_urgent.less_urgent = true;
  for (const auto& request :
       {less_urgent, Request(5), returns, Request(4), Request(6)}) {
    REQUIRE(queue.Offer(request, kFlow, kNow, kNow) == WaitVerdict::kWaits);
  }
  CHECK(Order(queue) == std::vector<uint64_t>{8, 4, 5, 6, 1});
  // Guards against slots for less urgent requests while urgent ones come.
  CHECK(queue.IdsBefore(Request(9)).size() == 4);
  CHECK(queue.IdsBefore(returns).size() == 1);
  CHECK(queue.IdsBefore(less_urgent).size() == 5);
  WaitRequest beyond = less_urgent;
  beyond.standing = Standing::kBeyondShare;
  CHECK(queue.IdsBefore(beyond).size() == 5);
}

// Guards against a queue in which most wait in vain.
TEST_CASE("only those wait for whom a slot becomes free in time") {
  WaitQueue queue;
  uint64_t id = 0;
  while (queue.Offer(Request(++id, milliseconds(75)), kFlow, kNow, kNow) ==
         WaitVerdict::kWaits) {
  }
  CHECK(queue.size() == 3);
  CHECK(queue.Offer(Request(++id, milliseconds(75)), kFlow, kNow, kNow) ==
        WaitVerdict::kTooLong);
  // One that goes before the others still fits, and pushes the last one out.
  WaitRequest returns = Request(++id, milliseconds(75));
  returns.returns_as_asked = true;
  CHECK(queue.Offer(returns, kFlow, kNow, kNow) == WaitVerdict::kWaits);
  const auto hopeless =
      queue.TakeHopeless(kFlow, kNow + milliseconds(5), kNow + milliseconds(5));
  REQUIRE(hopeless.size() == 1);
  CHECK(hopeless[0].id == ExchangeId(3));
  CHECK(hopeless[0].cause == WaitVerdict::kTooLong);
}

// Guards against requests that wait until their deadline because slots stopped
// becoming free after they had been taken.
TEST_CASE("when the rate falls, those who no longer fit leave at once") {
  WaitQueue queue;
  for (uint64_t id = 1; id <= 10; ++id) {
    REQUIRE(queue.Offer(Request(id), kFlow, kNow, kNow) == WaitVerdict::kWaits);
  }
  const SlotFlow slow{.freed_per_second = 10, .offered_per_second = 60};
  const TimePoint soon = kNow + milliseconds(100);
  CHECK(queue.TakeHopeless(slow, soon, soon).size() == 5);
  CHECK(queue.size() == 5);
  const auto rest = queue.TakeHopeless({}, soon, soon);
  CHECK(rest.size() == 5);
  CHECK(rest[0].cause == WaitVerdict::kNoRate);
  CHECK(queue.empty());
  CHECK(queue.Offer(Request(11), {}, soon, soon) == WaitVerdict::kNoRate);
}

// Guards against slots that are given to callers who have left.
TEST_CASE("a caller that leaves is no longer in the queue") {
  WaitQueue queue;
  REQUIRE(queue.Offer(Request(1), kFlow, kNow, kNow) == WaitVerdict::kWaits);
  REQUIRE(queue.Offer(Request(2), kFlow, kNow, kNow) == WaitVerdict::kWaits);
  CHECK(queue.Remove(ExchangeId(1)));
  CHECK_FALSE(queue.Remove(ExchangeId(1)));
  CHECK(Order(queue) == std::vector<uint64_t>{2});
}

TEST_CASE("a request leaves when it can no longer start in time") {
  WaitQueue queue;
  REQUIRE(queue.Offer(Request(1, milliseconds(75)), kFlow, kNow, kNow) ==
          WaitVerdict::kWaits);
  CHECK(
      queue
          .TakeHopeless(kFlow, kNow + milliseconds(74), kNow + milliseconds(74))
          .empty());
  CHECK(
      queue
          .TakeHopeless(kFlow, kNow + milliseconds(75), kNow + milliseconds(75))
          .size() == 1);
}

// Guards against requests that are taken with just enough time and rejected at
// the next check, and against a margin that counts twice.
TEST_CASE("who is taken with just enough time is not rejected at once") {
  constexpr milliseconds kCheckEvery{20};
  constexpr SlotFlow kFast{.freed_per_second = 100, .offered_per_second = 150};
  WaitQueue queue;
  uint64_t id = 0;
  while (queue.Offer(Request(++id, milliseconds(75)), kFast, kNow,
                     kNow + kCheckEvery) == WaitVerdict::kWaits) {
  }
  REQUIRE(queue.size() == 7);
  CHECK(queue.TakeHopeless(kFast, kNow, kNow + kCheckEvery).empty());
  WaitQueue other;
  CHECK(other.Offer(Request(1, milliseconds(26)), kFlow, kNow,
                    kNow + kCheckEvery) == WaitVerdict::kWaits);
  CHECK(other.Offer(Request(2, milliseconds(20)), kFast, kNow,
                    kNow + kCheckEvery) == WaitVerdict::kTooLong);
}

// Guards against a workspace beyond its share that takes places from others.
TEST_CASE("requests beyond their share never wait while others do") {
  WaitQueue queue;
  WaitRequest beyond = Request(1);
  beyond.standing = Standing::kBeyondShare;
  REQUIRE(queue.Offer(beyond, kFlow, kNow, kNow) == WaitVerdict::kWaits);
  REQUIRE(queue.Offer(Request(2), kFlow, kNow, kNow) == WaitVerdict::kWaits);
  const auto hopeless = queue.TakeHopeless(kFlow, kNow, kNow);
  REQUIRE(hopeless.size() == 1);
  CHECK(hopeless[0].id == ExchangeId(1));
  CHECK(hopeless[0].cause == WaitVerdict::kBeyondShare);
  CHECK(queue.Offer(beyond, kFlow, kNow, kNow) == WaitVerdict::kBeyondShare);
}

TEST_CASE("nobody waits in a long burst, and the queue is bounded") {
  WaitQueue queue;
  const SlotFlow burst{.freed_per_second = 40, .offered_per_second = 100};
  CHECK(queue.Offer(Request(1), burst, kNow, kNow) == WaitVerdict::kOverload);
  const SlotFlow large{.freed_per_second = 1e6, .offered_per_second = 1e6};
  uint64_t id = 0;
  while (queue.Offer(Request(++id), large, kNow, kNow) == WaitVerdict::kWaits) {
  }
  CHECK(queue.Offer(Request(++id), large, kNow, kNow) ==
        WaitVerdict::kQueueFull);
  CHECK(queue.size() <= 1000);
}

}  // namespace knapweedstile::admission
