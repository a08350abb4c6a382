#include "store/kind_mirror.h"

#include <catch2/catch.hpp>
#include <set>

#include "base/clock.h"
#include "harness/caller.h"
#include "store/store_calls.h"
#include "users_platform/object_store.h"

namespace knapweedstile::gateway {
namespace {

constexpr char kKind[] = "records";
constexpr size_t kMany = 1300;

}  // namespace

// Records come faster than one answer of a watch can hold. An entry that rests
// after each answer falls behind for good, and callers do not find at it what
// they have read elsewhere; taking the part for the whole hides that.
TEST_CASE("a mirror that is behind by more than one answer catches up") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  StoreCalls calls(caller.io(), store.address());
  std::set<std::string> seen;
  int reads = 0;
  size_t seen_at_last_read = 0;
  KindMirror mirror(
      caller.io(), calls, {.kind = kKind, .pause = std::chrono::minutes(1)},
      {.listed =
           [&](std::vector<platform::StoredObject>&& objects) {
             for (const auto& object : objects) seen.insert(object.name);
           },
       .changed =
           [&](platform::StoredObject&& object) { seen.insert(object.name); },
       .read_completed =
           [&](TimePoint /*began*/) {
             ++reads;
             seen_at_last_read = seen.size();
           }});
  mirror.Start();
  REQUIRE(caller.RunUntil([&] { return mirror.listed(); }));
  store.Put(kKind, "first", {});
  REQUIRE(caller.RunUntil([&] { return seen.size() == 1 && reads == 2; }));
  for (size_t i = 0; i < kMany; ++i) {
    store.Put(kKind, "record-" + std::to_string(i), {});
  }
  mirror.SkipPause();
  const TimePoint limit = MonotonicNow() + std::chrono::seconds(5);
  caller.RunUntil(
      [&] { return seen.size() == kMany + 1 || MonotonicNow() > limit; });
  CHECK(seen.size() == kMany + 1);
  CHECK(caller.RunUntil([&] { return reads >= 3; }));
  CHECK(seen_at_last_read == kMany + 1);
}

// The records of an hour take more than a second to read at a small VM whose
// link is busy. Each time another call succeeds the store counts as regained; a
// list that is given up and begun anew then never comes to its end, and the
// entry starts nothing for as long.
TEST_CASE("a large kind is listed though it takes seconds") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  store.DelayLists(std::chrono::milliseconds(1500));
  StoreCalls calls(caller.io(), store.address());
  size_t listed = 0;
  KindMirror mirror(caller.io(), calls, {.kind = kKind, .large_kind = true},
                    {.listed =
                         [&](std::vector<platform::StoredObject>&& objects) {
                           listed += objects.size();
                         },
                     .changed = [](platform::StoredObject&& /*object*/) {}});
  store.Put(kKind, "first", {});
  mirror.Start();
  const TimePoint limit = MonotonicNow() + std::chrono::seconds(4);
  TimePoint regained_at = MonotonicNow();
  caller.RunUntil([&] {
    const TimePoint now = MonotonicNow();
    if (now - regained_at > std::chrono::milliseconds(300)) {
      regained_at = now;
      mirror.OnStoreRegained();
    }
    return listed > 0 || now > limit;
  });
  CHECK(listed == 1);
  // What is known is gone on with, not listed again.
  store.Put(kKind, "second", {});
  REQUIRE(caller.RunUntil([&] { return mirror.newest_change() >= 12; }));
  mirror.OnStoreRegained();
  caller.RunFor(std::chrono::milliseconds(1800));
  CHECK(listed == 1);
}

// Two entries of a cell read the store and pass on what they read. An entry
// that takes the news of another for complete though one was lost goes on with
// a server that has left, or with an old configuration.
TEST_CASE(
    "a mirror that is fed takes the news, and reads where one is missing") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  StoreCalls calls(caller.io(), store.address());
  std::set<std::string> seen;
  std::set<std::string> removed;
  std::vector<StoreUpdate> later;  // of the reader
  const auto note = [&](platform::StoredObject&& object) {
    (object.deleted ? removed : seen).insert(object.name);
  };
  KindMirror reader(
      caller.io(), calls, {.kind = kKind},
      {.listed = [](std::vector<platform::StoredObject>&&) {},
       .changed = [](platform::StoredObject&&) {},
       .update_read = [&](const StoreUpdate& news) { later.push_back(news); }});
  StoreCalls fed_calls(caller.io(), store.address());
  KindMirror fed(caller.io(), fed_calls,
                 {.kind = kKind, .watch_wait = std::chrono::milliseconds(100)},
                 {.listed = [](std::vector<platform::StoredObject>&&) {},
                  .changed = note});
  store.Put(kKind, "before", {});
  fed.SetReceivesUpdates(true);
  fed.Start();
  reader.Start();
  REQUIRE(caller.RunUntil([&] { return fed.listed() && reader.listed(); }));
  const uint64_t calls_of_start = fed_calls.call_count();

  const auto put = [&](const std::string& name) {
    const size_t known = later.size();
    store.Put(kKind, name, {});
    REQUIRE(caller.RunUntil([&] { return later.size() > known; }));
  };
  put("a");
  CHECK(seen.empty());
  fed.OnStoreUpdate(StoreUpdate(later.back()));
  CHECK(seen == std::set<std::string>{"a"});
  CHECK(fed_calls.call_count() == calls_of_start);
  // The same from the other reader changes nothing.
  fed.OnStoreUpdate(StoreUpdate(later.back()));
  CHECK(fed_calls.call_count() == calls_of_start);

  // The news of "b" are lost.
  put("b");
  put("c");
  fed.OnStoreUpdate(StoreUpdate(later.back()));
  CHECK(caller.RunUntil([&] { return seen.size() == 3; }));
  CHECK(fed_calls.call_count() == calls_of_start + 1);

  // Without readers it follows the store by itself.
  put("d");
  fed.SetReceivesUpdates(false);
  CHECK(caller.RunUntil([&] { return seen.contains("d"); }));
  store.Put(kKind, "e", {});
  CHECK(caller.RunUntil([&] { return seen.contains("e"); }));
}

// Guards against news that are lost because they come while a mirror rests: it
// then waits for the next ones, knowing less than those who sent them.
TEST_CASE("news that come during a pause are taken") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  StoreCalls calls(caller.io(), store.address());
  std::set<std::string> seen;
  KindMirror mirror(
      caller.io(), calls, {.kind = kKind, .pause = std::chrono::minutes(1)},
      {.listed = [](std::vector<platform::StoredObject>&& /*objects*/) {},
       .changed =
           [&](platform::StoredObject&& object) { seen.insert(object.name); }});
  mirror.Start();
  REQUIRE(caller.RunUntil([&] { return mirror.listed(); }));
  store.Put(kKind, "first", {});
  REQUIRE(caller.RunUntil([&] { return seen.contains("first"); }));
  const uint64_t known = mirror.newest_change();
  mirror.SetReceivesUpdates(true);
  mirror.OnStoreUpdate(
      {.kind = kKind,
       .after = known,
       .as_of = known + 1,
       .objects = {{.kind = kKind, .name = "second", .version = known + 1}}});
  CHECK(seen.contains("second"));
  CHECK(mirror.newest_change() == known + 1);
}

}  // namespace knapweedstile::gateway
