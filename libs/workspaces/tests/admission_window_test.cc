#include "workspaces/admission_window.h"

#include <catch2/catch.hpp>

namespace knapweedstile::workspaces {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongest{5000};
constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);

}  // namespace

TEST_CASE("a span counts what was admitted in it, and a slot more at most") {
  AdmissionWindow window(kLongest);
  for (int i = 0; i < 50; ++i) window.Add(kNow + milliseconds(i * 100));
  const TimePoint end = kNow + milliseconds(4900);
  CHECK(window.CountIn(milliseconds(1000), end) >= 10);
  CHECK(window.CountIn(milliseconds(1000), end) <= 11);
  CHECK(window.CountIn(kLongest, end) == 50);
  // They leave one by one, and all are gone a window later.
  CHECK(window.CountIn(kLongest, end + milliseconds(2000)) <= 32);
  CHECK(window.CountIn(kLongest, end + milliseconds(2000)) >= 30);
  CHECK(window.CountIn(kLongest, end + kLongest + milliseconds(200)) == 0);
}

TEST_CASE("what is taken back leaves the slot that it was counted in") {
  AdmissionWindow window(kLongest);
  window.Add(kNow);
  window.Add(kNow + milliseconds(3000));
  window.Remove(kNow, kNow + milliseconds(3000));
  CHECK(window.CountIn(kLongest, kNow + milliseconds(3000)) == 1);
  CHECK(window.CountIn(milliseconds(1000), kNow + milliseconds(3000)) == 1);
  // Too old to be counted anywhere.
  window.Remove(kNow, kNow + milliseconds(60000));
  CHECK(window.CountIn(kLongest, kNow + milliseconds(60000)) == 0);
}

// A workspace is quiet for an hour and then sends again: what it sent before
// must not count.
TEST_CASE("a long pause empties the window") {
  AdmissionWindow window(kLongest);
  for (int i = 0; i < 1000; ++i) window.Add(kNow);
  const TimePoint later = kNow + std::chrono::hours(1);
  window.Add(later);
  CHECK(window.CountIn(kLongest, later) == 1);
}

}  // namespace knapweedstile::workspaces
