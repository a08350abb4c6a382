#include <catch2/catch.hpp>
#include <chrono>

#include "backoff.h"
#include "endpoint.h"
#include "heartbeat_clock.h"

namespace knapweedstile::wire {

using std::chrono::milliseconds;

TEST_CASE("the wait doubles to its bound and its half is random") {
  const Backoff backoff(milliseconds(50), milliseconds(2000));
  Rng rng(1);
  for (uint32_t failures : {0U, 3U, 8U, 4000000000U}) {
    const Duration ceiling = std::min<Duration>(
        milliseconds(50) * (1 << std::min(failures, 16U)), milliseconds(2000));
    Duration least = Duration::max();
    Duration most = Duration::zero();
    for (int i = 0; i < 1000; ++i) {
      const Duration wait = backoff.Next(failures, rng);
      least = std::min(least, wait);
      most = std::max(most, wait);
    }
    REQUIRE(least >= ceiling / 2);
    REQUIRE(most <= ceiling);
    REQUIRE(most - least > ceiling / 4);
  }
}

TEST_CASE("the clock offset comes from the quickest of the recent echoes") {
  // The other clock is 5 s ahead. One echo is held up for 400 ms on its way
  // back, as in a burst; its sample would be 200 ms off.
  constexpr int64_t kAhead = 5'000'000'000;
  const TimePoint start{};
  HeartbeatClock ours;
  pb::Heartbeat sent;
  for (int i = 1; i <= 20; ++i) {
    const auto left = milliseconds(500 * i);
    ours.Stamp(sent, start + left, left.count() * 1'000'000);
    const auto back = milliseconds(i % 4 == 0 ? 401 : 1);
    pb::Heartbeat echo;
    echo.set_sequence(i);
    echo.set_echo_sequence(sent.sequence());
    echo.set_echo_hold_nanos(20'000'000);
    const auto echoed = left + milliseconds(1) + milliseconds(20);
    echo.set_wall_clock_nanos(echoed.count() * 1'000'000 + kAhead);
    const auto arrived = echoed + back;
    ours.Take(echo, start + arrived, arrived.count() * 1'000'000);
  }
  REQUIRE(ours.offset().round_trip_nanos() == 2'000'000);
  REQUIRE(ours.offset().offset_nanos() == kAhead);
}

TEST_CASE("echoes that cannot be are passed over") {
  HeartbeatClock ours;
  const TimePoint start{};
  pb::Heartbeat sent;
  ours.Stamp(sent, start, 0);
  pb::Heartbeat echo;
  echo.set_echo_sequence(9);  // never sent
  ours.Take(echo, start + milliseconds(5), 5'000'000);
  echo.set_echo_sequence(1);
  echo.set_echo_hold_nanos(~uint64_t{0});  // longer than the round
  echo.set_wall_clock_nanos(INT64_MIN);
  ours.Take(echo, start + milliseconds(5), 5'000'000);
  REQUIRE(ours.offset().round_trip_nanos() == 0);
}

TEST_CASE("addresses are IP and port, nothing else") {
  REQUIRE(ParseEndpoint("127.0.0.1:80")->port() == 80);
  REQUIRE(ParseEndpoint("[::1]:9")->address().is_v6());
  for (const char* bad : {"", "127.0.0.1", "host:80", "1.2.3.4:", "1.2.3.4:x",
                          "1.2.3.4:70000", "1.2.3.4:-1"}) {
    REQUIRE_FALSE(ParseEndpoint(bad));
  }
}

}  // namespace knapweedstile::wire
