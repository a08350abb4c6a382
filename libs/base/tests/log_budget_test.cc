#include "base/log_budget.h"

#include <catch2/catch.hpp>

namespace knapweedstile {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

// The number of lines within the budget when `per_milli` lines are attempted
// each millisecond over `time`.
int CountWritten(LogBudget& budget, TimePoint from, milliseconds time,
                 int per_milli) {
  int written = 0;
  for (milliseconds at{0}; at < time; at += milliseconds(1)) {
    for (int i = 0; i < per_milli; ++i) {
      written += budget.TryAcquire(from + at) ? 1 : 0;
    }
  }
  return written;
}

}  // namespace

// Guards against unbounded logging under overload: a gateway rejects ten
// requests a millisecond. The rate of lines stays bounded, and some are always
// written.
TEST_CASE("a burst of lines is limited to the configured rate") {
  LogBudget budget(300, 600);
  const int first = CountWritten(budget, kStart, milliseconds(1000), 10);
  CHECK(first >= 895);
  CHECK(first <= 905);
  const int second =
      CountWritten(budget, kStart + milliseconds(1000), milliseconds(1000), 10);
  CHECK(second >= 295);
  CHECK(second <= 305);
}

TEST_CASE("no line is dropped at usual traffic") {
  LogBudget budget(300, 600);
  int written = 0;
  for (int i = 0; i < 2500; ++i) {
    written += budget.TryAcquire(kStart + milliseconds(4 * i)) ? 1 : 0;
  }
  CHECK(written == 2500);
}

}  // namespace knapweedstile
