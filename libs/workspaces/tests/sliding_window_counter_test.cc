#include "workspaces/sliding_window_counter.h"

#include <catch2/catch.hpp>

namespace knapweedstile::workspaces {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongest{5000};
constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);

}  // namespace

TEST_CASE("CountIn counts the requests of a span and at most one bucket more") {
  SlidingWindowCounter window(kLongest);
  for (int i = 0; i < 50; ++i) window.Add(kNow + milliseconds(i * 100));
  const TimePoint end = kNow + milliseconds(4900);
  CHECK(window.CountIn(milliseconds(1000), end) >= 10);
  CHECK(window.CountIn(milliseconds(1000), end) <= 11);
  CHECK(window.CountIn(kLongest, end) == 50);
  // Requests expire one by one; none is counted a window later.
  CHECK(window.CountIn(kLongest, end + milliseconds(2000)) <= 32);
  CHECK(window.CountIn(kLongest, end + milliseconds(2000)) >= 30);
  CHECK(window.CountIn(kLongest, end + kLongest + milliseconds(200)) == 0);
}

TEST_CASE("Remove subtracts from the bucket that counted the request") {
  SlidingWindowCounter window(kLongest);
  window.Add(kNow);
  window.Add(kNow + milliseconds(3000));
  window.Remove(kNow, kNow + milliseconds(3000));
  CHECK(window.CountIn(kLongest, kNow + milliseconds(3000)) == 1);
  CHECK(window.CountIn(milliseconds(1000), kNow + milliseconds(3000)) == 1);
  // Already outside the window.
  window.Remove(kNow, kNow + milliseconds(60000));
  CHECK(window.CountIn(kLongest, kNow + milliseconds(60000)) == 0);
}

// Guards against old counts after a long gap: a workspace that sends nothing
// for an hour starts again with an empty window.
TEST_CASE("a long gap between requests empties the window") {
  SlidingWindowCounter window(kLongest);
  for (int i = 0; i < 1000; ++i) window.Add(kNow);
  const TimePoint later = kNow + std::chrono::hours(1);
  window.Add(later);
  CHECK(window.CountIn(kLongest, later) == 1);
}

}  // namespace knapweedstile::workspaces
