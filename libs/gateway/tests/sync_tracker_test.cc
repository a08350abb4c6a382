#include "peers/sync_tracker.h"

#include <catch2/catch.hpp>

#include "store/lag_detector.h"

namespace knapweedstile::gateway {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

TimePoint At(int64_t millis) { return kStart + milliseconds(millis); }

}  // namespace

TEST_CASE("records that were pushed need no call to the store") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 0, At(0));
  sync.OnAdvertisedCount("entry-2", 1, 1, At(100));
  sync.OnReceived("entry-2", 1, 0, 1, At(105));
  sync.OnAdvertisedCount("entry-2", 1, 1, At(350));
  CHECK_FALSE(sync.NeedsStoreRead(At(400)));
}

// A caller reads a result at another entry and then asks here. The push of that
// result was lost with its connection. The count that the other entry tells
// stays ahead, so the store is asked, and once only.
TEST_CASE("a push that was lost makes this entry ask the store") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 1, At(0));
  CHECK_FALSE(sync.NeedsStoreRead(At(50)));
  CHECK(sync.NeedsStoreRead(At(200)));
  sync.OnStoreRead(At(200), At(200));
  CHECK_FALSE(sync.NeedsStoreRead(At(500)));
}

// The first of two pushes is lost, the second arrives. Taking the second's
// count for everything would hide the gap for good.
TEST_CASE("a later push does not make up for a lost one") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 1, At(0));
  sync.OnReceived("entry-2", 1, 1, 2, At(100));
  CHECK(sync.NeedsStoreRead(At(300)));
}

// A record is counted while the store is being read: the read may have begun
// before it was written, so it does not count as known.
TEST_CASE("a read covers only what was counted before it began") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 1, At(0));
  sync.OnAdvertisedCount("entry-2", 1, 2, At(210));
  sync.OnStoreRead(At(200), At(200));
  CHECK(sync.NeedsStoreRead(At(500)));
}

// An entry is cut off from this one but still commits results that callers read
// there. Nothing of it arrives here, not even its count.
TEST_CASE("a silent entry makes this one ask the store again and again") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 0, At(0));
  CHECK_FALSE(sync.NeedsStoreRead(At(500)));
  CHECK(sync.NeedsStoreRead(At(700)));
  sync.OnStoreRead(At(700), At(700));
  CHECK_FALSE(sync.NeedsStoreRead(At(800)));
  CHECK(sync.IsCurrent(At(1000)));
  // While callers ask, a read, which takes up to 250 ms at a slow store, must
  // end before the one before is too old.
  CHECK_FALSE(sync.NeedsStoreRead(At(1400 - 250)));
  sync.OnCallerWaiting(At(1000));
  CHECK(sync.NeedsStoreRead(At(1400 - 250)));
  CHECK(sync.IsCurrent(At(1400)));
  CHECK_FALSE(sync.IsCurrent(At(1500)));
  // Nobody has asked for long: ends of jobs must still be known within three
  // seconds.
  sync.OnStoreRead(At(3000), At(3000));
  CHECK_FALSE(sync.NeedsStoreRead(At(4400)));
  CHECK(sync.NeedsStoreRead(At(4500)));
  // Long after, it is gone for good.
  CHECK_FALSE(sync.NeedsStoreRead(At(20000)));
}

// After a restart nothing was read yet: "no more results" would be a guess.
TEST_CASE("nothing is current before the first read of the store") {
  SyncTracker sync;
  CHECK_FALSE(sync.IsCurrent(At(0)));
  sync.OnStoreRead(At(0), At(0));
  CHECK(sync.IsCurrent(At(10)));
  sync.OnAdvertisedCount("entry-2", 1, 1, At(20));
  CHECK(sync.IsCurrent(At(100)));
  CHECK_FALSE(sync.IsCurrent(At(200)));
  sync.OnStoreRead(At(210), At(210));
  CHECK(sync.IsCurrent(At(220)));
}

// An entry is known from the store but has never been heard: it may be cut off
// from this one and serve callers.
TEST_CASE("an entry that was never heard makes this one ask the store") {
  SyncTracker sync;
  sync.OnStoreRead(At(0), At(0));
  sync.AddPeer("entry-2", At(0));
  CHECK_FALSE(sync.NeedsStoreRead(At(400)));
  sync.OnCallerWaiting(At(600));
  CHECK(sync.NeedsStoreRead(At(700)));
}

TEST_CASE("an entry that left in an orderly way hides nothing") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 0, At(0));
  sync.RemovePeer("entry-2");
  CHECK_FALSE(sync.NeedsStoreRead(At(700)));
}

TEST_CASE("an entry that started again counts from zero") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 9, At(0));
  sync.OnStoreRead(At(10), At(10));
  sync.OnAdvertisedCount("entry-2", 2, 1, At(500));
  CHECK(sync.NeedsStoreRead(At(700)));
}

// An entry commits a result, is stopped before its push is sent, and is back
// half a second later. Its new count says nothing of the old process's record.
TEST_CASE("after an entry's restart the store is asked") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 0, At(0));
  sync.OnStoreRead(At(10), At(10));
  sync.OnAdvertisedCount("entry-2", 2, 0, At(500));
  CHECK(sync.NeedsStoreRead(At(700)));
  CHECK_FALSE(sync.IsCurrent(At(700)));
  sync.OnStoreRead(At(700), At(700));
  CHECK(sync.IsCurrent(At(750)));
}

// The watch's connection is silent: this entry stays on the old version while
// the others tell the new one.
TEST_CASE("a version that stays behind for longer than a change takes") {
  LagDetector lag;
  lag.OnAdvertised(5, 5, At(0));
  CHECK_FALSE(lag.IsLagging(5, At(1000)));
  lag.OnAdvertised(6, 5, At(1000));
  CHECK_FALSE(lag.IsLagging(5, At(1100)));
  lag.OnAdvertised(7, 5, At(1200));
  CHECK(lag.IsLagging(5, At(1350)));
  CHECK_FALSE(lag.IsLagging(7, At(1350)));
}

// A job's end is pushed to all entries but this one. For some milliseconds that
// is usual; when the gap stays, the store cannot have been asked, and an item
// that starts now may be one that must not.
TEST_CASE("a gap that stays is known until the store fills it") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 1, At(0));
  CHECK_FALSE(sync.HasGap(At(400)));
  CHECK(sync.HasGap(At(600)));
  sync.OnStoreRead(At(700), At(700));
  CHECK_FALSE(sync.HasGap(At(1000)));
}

// A process is paused for seconds. When it goes on, datagrams from before the
// pause are still in its socket and look like fresh ones: what it knows from
// them is not enough to answer by.
TEST_CASE("after a pause nothing is current before the store was read") {
  SyncTracker sync;
  sync.OnStoreRead(At(0), At(0));
  sync.OnAdvertisedCount("entry-2", 1, 0, At(10));
  REQUIRE(sync.IsCurrent(At(20)));
  sync.OnPaused(At(5000));
  sync.OnAdvertisedCount("entry-2", 1, 0, At(5001));
  CHECK_FALSE(sync.IsCurrent(At(5002)));
  CHECK(sync.NeedsStoreRead(At(5002)));
  sync.OnStoreRead(At(5003), At(5010));
  CHECK(sync.IsCurrent(At(5010)));
}

// A record that was not pushed is read from the store. Its writer is told, so
// that it does not hold the job for unheard.
TEST_CASE("a gap that was filled is told, for a while") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 7, 3, At(0));
  CHECK(sync.RecentlyRecovered(At(100)).empty());
  sync.OnStoreRead(At(200), At(210));
  const auto filled = sync.RecentlyRecovered(At(300));
  REQUIRE(filled.contains("entry-2"));
  CHECK(filled.at("entry-2").start == 7);
  CHECK(filled.at("entry-2").count == 3);
  CHECK(sync.RecentlyRecovered(At(5000)).empty());
}

// All entries crash and one stays away for good. Whether it has taken jobs
// cannot be known for as long as it is expected; the others' own records still
// can.
TEST_CASE("a silent entry leaves what the others have written complete") {
  SyncTracker sync;
  CHECK_FALSE(sync.IsComplete(At(0)));
  sync.OnStoreRead(At(0), At(10));
  sync.AddPeer("entry-3", At(10));
  sync.OnAdvertisedCount("entry-2", 1, 1, At(1500));
  sync.OnReceived("entry-2", 1, 0, 1, At(1505));
  CHECK_FALSE(sync.IsCurrent(At(1600)));
  CHECK(sync.IsComplete(At(1600)));
  CHECK(sync.ReceivedFrom("entry-2") == 1);
  sync.OnAdvertisedCount("entry-2", 1, 2, At(1700));
  CHECK_FALSE(sync.IsComplete(At(2300)));
  CHECK(sync.ReceivedFrom("entry-2") == 1);
}

// The link to another entry is too slow for its pushes, and it writes a record
// every 50 ms. A read of the store takes 80 ms, so each time a newer count has
// come meanwhile. What the reads bring must count, or nothing starts here any
// more.
TEST_CASE("reads of the store keep up with an entry that writes all the time") {
  SyncTracker sync;
  uint64_t count = 0;
  for (int now = 0; now < 20000; now += 10) {
    if (now % 50 == 0) sync.OnAdvertisedCount("entry-2", 1, ++count, At(now));
    if (now % 300 == 80) sync.OnStoreRead(At(now - 80), At(now));
    CAPTURE(now);
    REQUIRE_FALSE(sync.HasGap(At(now)));
  }
  CHECK(sync.ReceivedFrom("entry-2") + 10 > count);
}

}  // namespace knapweedstile::gateway
