#include "peers/sync_tracker.h"

#include <catch2/catch.hpp>

#include "store/lag_detector.h"

namespace knapweedstile::gateway {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

TimePoint At(int64_t millis) { return kStart + milliseconds(millis); }

}  // namespace

TEST_CASE("pushed records need no store read") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 0, At(0));
  sync.OnAdvertisedCount("entry-2", 1, 1, At(100));
  sync.OnReceived("entry-2", 1, 0, 1, At(105));
  sync.OnAdvertisedCount("entry-2", 1, 1, At(350));
  CHECK_FALSE(sync.NeedsStoreRead(At(400)));
}

// A caller reads a result on a peer and then requests it here, but the push of
// that result was lost with its connection. The count that the peer advertises
// stays ahead, so the store is read, and only once.
TEST_CASE("a lost push causes a store read") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 1, At(0));
  CHECK_FALSE(sync.NeedsStoreRead(At(50)));
  CHECK(sync.NeedsStoreRead(At(200)));
  sync.OnStoreRead(At(200), At(200));
  CHECK_FALSE(sync.NeedsStoreRead(At(500)));
}

// The first of two pushes is lost and the second arrives. Marking everything up
// to the second's count as received would hide the gap permanently.
TEST_CASE("a later push does not hide a lost one") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 1, At(0));
  sync.OnReceived("entry-2", 1, 1, 2, At(100));
  CHECK(sync.NeedsStoreRead(At(300)));
}

// A record is advertised during a store read. The read may have begun before
// the record was written, so it does not count as received.
TEST_CASE("a store read covers only records advertised before it began") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 1, At(0));
  sync.OnAdvertisedCount("entry-2", 1, 2, At(210));
  sync.OnStoreRead(At(200), At(200));
  CHECK(sync.NeedsStoreRead(At(500)));
}

// A partitioned peer still commits results that callers read there. Neither its
// records nor its counts arrive here.
TEST_CASE("a silent peer causes repeated store reads") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 0, At(0));
  CHECK_FALSE(sync.NeedsStoreRead(At(500)));
  CHECK(sync.NeedsStoreRead(At(700)));
  sync.OnStoreRead(At(700), At(700));
  CHECK_FALSE(sync.NeedsStoreRead(At(800)));
  CHECK(sync.IsCurrent(At(1000)));
  // While callers wait, a read, which takes up to 250 ms with a slow store,
  // must end before the previous one is too old.
  CHECK_FALSE(sync.NeedsStoreRead(At(1400 - 250)));
  sync.OnCallerWaiting(At(1000));
  CHECK(sync.NeedsStoreRead(At(1400 - 250)));
  CHECK(sync.IsCurrent(At(1400)));
  CHECK_FALSE(sync.IsCurrent(At(1500)));
  // No caller has waited for long, but the ends of jobs must still be received
  // within three seconds.
  sync.OnStoreRead(At(3000), At(3000));
  CHECK_FALSE(sync.NeedsStoreRead(At(4400)));
  CHECK(sync.NeedsStoreRead(At(4500)));
  // After a long silence the peer is considered terminated.
  CHECK_FALSE(sync.NeedsStoreRead(At(20000)));
}

// Guards against responding "no more results" after a restart, before anything
// was read.
TEST_CASE("no state is current before the first store read") {
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

// A peer is registered in the store but no report was received from it. It may
// be partitioned from this gateway and serve callers.
TEST_CASE("a registered peer without any report causes a store read") {
  SyncTracker sync;
  sync.OnStoreRead(At(0), At(0));
  sync.AddPeer("entry-2", At(0));
  CHECK_FALSE(sync.NeedsStoreRead(At(400)));
  sync.OnCallerWaiting(At(600));
  CHECK(sync.NeedsStoreRead(At(700)));
}

TEST_CASE("a peer that shut down gracefully causes no store read") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 0, At(0));
  sync.RemovePeer("entry-2");
  CHECK_FALSE(sync.NeedsStoreRead(At(700)));
}

TEST_CASE("the count of a restarted peer starts at zero") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 9, At(0));
  sync.OnStoreRead(At(10), At(10));
  sync.OnAdvertisedCount("entry-2", 2, 1, At(500));
  CHECK(sync.NeedsStoreRead(At(700)));
}

// A peer commits a result, is stopped before its push is sent, and restarts
// half a second later. Its new count does not cover the previous process's
// record.
TEST_CASE("a peer restart causes a store read") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 0, At(0));
  sync.OnStoreRead(At(10), At(10));
  sync.OnAdvertisedCount("entry-2", 2, 0, At(500));
  CHECK(sync.NeedsStoreRead(At(700)));
  CHECK_FALSE(sync.IsCurrent(At(700)));
  sync.OnStoreRead(At(700), At(700));
  CHECK(sync.IsCurrent(At(750)));
}

// The watch's connection is silent: this gateway keeps the old version while
// peers advertise the new one.
TEST_CASE("a version that stays behind the advertised one is lagging") {
  LagDetector lag;
  lag.OnAdvertised(5, 5, At(0));
  CHECK_FALSE(lag.IsLagging(5, At(1000)));
  lag.OnAdvertised(6, 5, At(1000));
  CHECK_FALSE(lag.IsLagging(5, At(1100)));
  lag.OnAdvertised(7, 5, At(1200));
  CHECK(lag.IsLagging(5, At(1350)));
  CHECK_FALSE(lag.IsLagging(7, At(1350)));
}

// A job's end is pushed to all gateways but this one. That is normal for some
// milliseconds. If the gap remains, the store could not be read, and an item
// that starts now may belong to a job that has ended.
TEST_CASE("a gap persists until a store read fills it") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 1, 1, At(0));
  CHECK_FALSE(sync.HasGap(At(400)));
  CHECK(sync.HasGap(At(600)));
  sync.OnStoreRead(At(700), At(700));
  CHECK_FALSE(sync.HasGap(At(1000)));
}

// A process is paused for seconds. When it resumes, datagrams from before the
// pause are still in its socket and appear fresh, so state based on them must
// not be used to respond.
TEST_CASE("after a process pause no state is current before a store read") {
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

// A record that was not pushed is read from the store. This is reported to its
// writer, so that it does not consider the job unacknowledged.
TEST_CASE("a filled gap is reported for a limited time") {
  SyncTracker sync;
  sync.OnAdvertisedCount("entry-2", 7, 3, At(0));
  CHECK(sync.RecentlyRecovered(At(100)).empty());
  sync.OnStoreRead(At(200), At(210));
  const auto recovered = sync.RecentlyRecovered(At(300));
  REQUIRE(recovered.contains("entry-2"));
  CHECK(recovered.at("entry-2").start == 7);
  CHECK(recovered.at("entry-2").count == 3);
  CHECK(sync.RecentlyRecovered(At(5000)).empty());
}

// All gateways crash and one does not restart. As long as it is expected, it is
// unknown whether it has accepted jobs, but the records of the other peers can
// be complete.
TEST_CASE(
    "a silent peer does not affect the completeness of other peers' records") {
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

// The link from a peer is too slow for its pushes, and it writes a record every
// 50 ms. A store read takes 80 ms, so a newer count arrives during each read.
// Records that a read brings must count, or no item starts here any more.
TEST_CASE("store reads keep up with a peer that writes continuously") {
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
