#include "load_meter.h"

#include <catch2/catch.hpp>

namespace knapweedstile::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{20};

// A process whose ticks run `lateness` after they are due.
struct Process {
  void Run(Duration duration, Duration lateness) {
    const TimePoint end = now + duration;
    while (now < end) {
      const TimePoint due = now + kTick;
      now = due + lateness;
      meter.OnTimer(due, now);
    }
  }
  bool IsShort() const { return IsShortOfProcessor(meter.headroom()); }

  LoadMeter meter;
  TimePoint now{seconds(100)};
};

}  // namespace

TEST_CASE("a process whose timers run on time has headroom") {
  Process process;
  process.Run(seconds(5), milliseconds(1));
  CHECK(process.meter.headroom() > 0.95);
  // A tick that is late now and then, as next to any other work.
  for (int i = 0; i < 20; ++i) {
    process.Run(milliseconds(400), milliseconds(2));
    process.Run(kTick, milliseconds(40));
  }
  CHECK_FALSE(process.IsShort());
}

// Guards against a gateway that gets a fifth of its processor time for seconds
// and keeps its work: each tick then comes late by several ticks.
TEST_CASE("a process that is slow for 5 s is short within half a second") {
  Process process;
  process.Run(seconds(5), milliseconds(1));
  process.Run(milliseconds(500), milliseconds(90));
  CHECK(process.IsShort());
  process.Run(milliseconds(4500), milliseconds(90));
  CHECK(process.IsShort());
  process.Run(milliseconds(500), milliseconds(1));
  CHECK(process.IsShort());
  process.Run(seconds(3), milliseconds(1));
  CHECK_FALSE(process.IsShort());
}

// Guards against a process that stood still and takes work at once when it runs
// again: a single timer is late then, by all of that time.
TEST_CASE("one timer that stalled for a second leaves no headroom") {
  Process process;
  process.Run(seconds(5), milliseconds(1));
  process.Run(kTick, seconds(1));
  CHECK(process.IsShort());
}

// Guards against work that two gateways hand to each other.
TEST_CASE("headroom changes sides rarely while the load changes fast") {
  Process process;
  int changes = 0;
  bool was_short = false;
  for (int i = 0; i < 100; ++i) {
    process.Run(milliseconds(200), milliseconds(i % 2 == 0 ? 95 : 1));
    if (process.IsShort() != was_short) ++changes;
    was_short = process.IsShort();
  }
  // The mean is close to the threshold.
  for (int i = 0; i < 500; ++i) {
    process.Run(kTick, milliseconds(i % 2 == 0 ? 75 : 45));
    if (process.IsShort() != was_short) ++changes;
    was_short = process.IsShort();
  }
  CHECK(changes <= 2);
}

}  // namespace knapweedstile::gateway
