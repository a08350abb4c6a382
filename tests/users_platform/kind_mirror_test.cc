#include "store/kind_mirror.h"

#include <catch2/catch.hpp>
#include <set>

#include "base/clock.h"
#include "harness/caller.h"
#include "harness/proxy.h"
#include "store/store_calls.h"
#include "users_platform/object_store.h"

namespace knapweedstile::gateway {
namespace {

constexpr char kKind[] = "records";
constexpr size_t kRecordCount = 1300;
constexpr std::chrono::seconds kListTimeout{5};
constexpr std::chrono::milliseconds kWatchGrace{200};

}  // namespace

// Guards against a mirror that falls behind for good because it pauses after
// each watch response while records arrive faster than one response can hold,
// and against treating one such response as the full state: callers would not
// find records that they have read at other gateways.
TEST_CASE("a mirror that is behind by more than one response catches up") {
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
  for (size_t i = 0; i < kRecordCount; ++i) {
    store.Put(kKind, "record-" + std::to_string(i), {});
  }
  mirror.SkipPause();
  const TimePoint limit = MonotonicNow() + std::chrono::seconds(5);
  caller.RunUntil([&] {
    return seen.size() == kRecordCount + 1 || MonotonicNow() > limit;
  });
  CHECK(seen.size() == kRecordCount + 1);
  CHECK(caller.RunUntil([&] { return reads >= 3; }));
  CHECK(seen_at_last_read == kRecordCount + 1);
}

// Guards against a mirror that reads on demand and pauses after a response that
// holds only a part of the changes: at more than one response of changes per
// pause it falls behind until the store's history is compacted.
TEST_CASE("a mirror that reads on demand does not pause while it is behind") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  StoreCalls calls(caller.io(), store.address());
  std::set<std::string> seen;
  int reads = 0;
  size_t seen_at_last_read = 0;
  KindMirror mirror(
      caller.io(), calls,
      {.kind = kKind,
       .pause = std::chrono::minutes(1),
       .large_kind = true,
       .on_demand = true},
      {.listed = [](std::vector<platform::StoredObject>&& /*objects*/) {},
       .changed =
           [&](platform::StoredObject&& object) { seen.insert(object.name); },
       .read_completed =
           [&](TimePoint /*began*/) {
             ++reads;
             seen_at_last_read = seen.size();
           }});
  mirror.Start();
  REQUIRE(caller.RunUntil([&] { return mirror.caught_up(); }));
  for (size_t i = 0; i < kRecordCount; ++i) {
    store.Put(kKind, "record-" + std::to_string(i), {});
  }
  const int reads_before = reads;
  mirror.SkipPause();
  REQUIRE(caller.RunUntil([&] { return !seen.empty(); }));
  CHECK_FALSE(mirror.caught_up());
  CHECK(reads == reads_before);
  const TimePoint limit = MonotonicNow() + std::chrono::seconds(5);
  caller.RunUntil(
      [&] { return seen.size() == kRecordCount || MonotonicNow() > limit; });
  CHECK(seen.size() == kRecordCount);
  CHECK(caller.RunUntil([&] { return reads > reads_before; }));
  CHECK(seen_at_last_read == kRecordCount);
  CHECK(mirror.caught_up());
}

// Guards against a list that never completes. The records of an hour take more
// than a second to read on a small VM with a busy link, and each successful
// call counts as a recovery of the store; if a recovery restarted the list, the
// gateway would start no items.
TEST_CASE("a large kind is listed even if that takes seconds") {
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
  // The mirror continues after the newest change and does not list again.
  store.Put(kKind, "second", {});
  REQUIRE(caller.RunUntil([&] { return mirror.newest_change() >= 12; }));
  mirror.OnStoreRegained();
  caller.RunFor(std::chrono::milliseconds(1800));
  CHECK(listed == 1);
}

// Guards against a list that begins again without end: over a slow link it
// takes longer than the store retains its history, so that the changes made
// meanwhile are compacted when it ends.
TEST_CASE("a list that takes longer than the history lasts ends caught up") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  constexpr std::chrono::milliseconds kRetention{1000};
  constexpr std::chrono::milliseconds kPageDelay{250};
  constexpr size_t kListed = 60;  // on 12 pages
  store.RetainHistory(kRetention);
  store.DelayLists(kPageDelay);
  StoreCalls calls(caller.io(), store.address());
  std::set<std::string> seen;
  KindMirror mirror(caller.io(), calls,
                    {.kind = kKind,
                     .pause = std::chrono::minutes(1),
                     .large_kind = true,
                     .on_demand = true,
                     .history_retention = kRetention},
                    {.listed =
                         [&](std::vector<platform::StoredObject>&& objects) {
                           for (const auto& object : objects)
                             seen.insert(object.name);
                         },
                     .changed =
                         [&](platform::StoredObject&& object) {
                           if (object.deleted) {
                             seen.erase(object.name);
                           } else {
                             seen.insert(object.name);
                           }
                         }});
  std::set<std::string> stored;
  const auto put = [&](const std::string& name) {
    store.Put(kKind, name, {});
    stored.insert(name);
  };
  for (size_t i = 0; i < kListed; ++i) put("m-" + std::to_string(i));
  mirror.Start();
  // Changes to names that are listed already, and to others.
  TimePoint change_at = MonotonicNow();
  int changes = 0;
  const TimePoint limit = MonotonicNow() + std::chrono::seconds(8);
  caller.RunUntil([&] {
    const TimePoint now = MonotonicNow();
    if (mirror.caught_up() || now > limit) return true;
    if (now >= change_at) {
      change_at = now + std::chrono::milliseconds(200);
      const std::string number = std::to_string(changes++);
      put("a-" + number);
      put("z-" + number);
      store.Remove(kKind, "m-" + number);
      stored.erase("m-" + number);
    }
    return false;
  });
  CHECK(mirror.caught_up());
  CHECK(seen == stored);
}

// Guards against servers that are dropped although they are registered: one
// page of a list that was replaced by a read of the changes is no full list.
TEST_CASE("a refresh that replaces a list leaves the known objects") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  constexpr size_t kObjects = 12;  // on 3 pages
  for (size_t i = 0; i < kObjects; ++i) {
    store.Put(kKind, "object-" + std::to_string(i), {});
  }
  StoreCalls calls(caller.io(), store.address());
  std::set<std::string> known;
  KindMirror mirror(
      caller.io(), calls,
      {.kind = kKind, .watch_wait = std::chrono::milliseconds(100)},
      {.listed =
           [&](std::vector<platform::StoredObject>&& objects) {
             known.clear();
             for (const auto& object : objects) known.insert(object.name);
           },
       .changed =
           [&](platform::StoredObject&& object) {
             known.insert(object.name);
           }});
  mirror.Start();
  REQUIRE(caller.RunUntil([&] { return mirror.caught_up(); }));
  REQUIRE(known.size() == kObjects);
  store.DelayLists(std::chrono::milliseconds(300));
  mirror.OnStoreRegained();
  caller.RunFor(std::chrono::milliseconds(20));
  mirror.Refresh();
  caller.RunFor(std::chrono::milliseconds(1000));
  CHECK(known.size() == kObjects);
  store.Put(kKind, "new", {});
  CHECK(caller.RunUntil([&] { return known.size() == kObjects + 1; }));
}

// Two gateways of a cell read the store and send updates to the others. Guards
// against applying an update as complete when the one before was lost: the
// gateway would keep using a removed server or an old configuration.
TEST_CASE("a mirror applies updates, and reads the store when one is missing") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  StoreCalls calls(caller.io(), store.address());
  std::set<std::string> seen;
  std::set<std::string> removed;
  std::vector<StoreUpdate> updates;  // read by `reader`
  const auto record_change = [&](platform::StoredObject&& object) {
    (object.deleted ? removed : seen).insert(object.name);
  };
  KindMirror reader(
      caller.io(), calls, {.kind = kKind},
      {.listed = [](std::vector<platform::StoredObject>&&) {},
       .changed = [](platform::StoredObject&&) {},
       .update_read =
           [&](const StoreUpdate& update) { updates.push_back(update); }});
  StoreCalls receiver_calls(caller.io(), store.address());
  KindMirror receiver(
      caller.io(), receiver_calls,
      {.kind = kKind, .watch_wait = std::chrono::milliseconds(100)},
      {.listed = [](std::vector<platform::StoredObject>&&) {},
       .changed = record_change});
  store.Put(kKind, "before", {});
  receiver.SetReceivesUpdates(true);
  receiver.Start();
  reader.Start();
  REQUIRE(
      caller.RunUntil([&] { return receiver.listed() && reader.listed(); }));
  const uint64_t calls_after_start = receiver_calls.call_count();

  const auto put = [&](const std::string& name) {
    const size_t previous = updates.size();
    store.Put(kKind, name, {});
    REQUIRE(caller.RunUntil([&] { return updates.size() > previous; }));
  };
  put("a");
  CHECK(seen.empty());
  receiver.OnStoreUpdate(StoreUpdate(updates.back()));
  CHECK(seen == std::set<std::string>{"a"});
  CHECK(receiver_calls.call_count() == calls_after_start);
  // The same update from the other reader changes nothing.
  receiver.OnStoreUpdate(StoreUpdate(updates.back()));
  CHECK(receiver_calls.call_count() == calls_after_start);

  // The update with "b" is lost.
  put("b");
  put("c");
  receiver.OnStoreUpdate(StoreUpdate(updates.back()));
  CHECK(caller.RunUntil([&] { return seen.size() == 3; }));
  CHECK(receiver_calls.call_count() == calls_after_start + 1);

  // Without readers the mirror follows the store by itself.
  put("d");
  receiver.SetReceivesUpdates(false);
  CHECK(caller.RunUntil([&] { return seen.contains("d"); }));
  store.Put(kKind, "e", {});
  CHECK(caller.RunUntil([&] { return seen.contains("e"); }));
}

// Guards against dropping updates that arrive while a mirror pauses: it would
// wait for the next update and stay behind its senders.
TEST_CASE("updates that arrive during a pause are applied") {
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
  const uint64_t previous = mirror.newest_change();
  mirror.SetReceivesUpdates(true);
  mirror.OnStoreUpdate(
      {.kind = kKind,
       .after = previous,
       .as_of = previous + 1,
       .objects = {
           {.kind = kKind, .name = "second", .version = previous + 1}}});
  CHECK(seen.contains("second"));
  CHECK(mirror.newest_change() == previous + 1);
}

// Guards against a gateway that takes the whole store for unavailable, and
// rejects callers, because a watch that it has replaced long ago reaches its
// deadline on a silent connection.
TEST_CASE("an abandoned watch without a response does not lose the store") {
  harness::Caller caller;
  users_site::ObjectStore store(caller.io());
  harness::Proxy proxy(caller.io(), "127.0.0.1:0", store.address());
  StoreCalls calls(caller.io(), "127.0.0.1:" + std::to_string(proxy.port()));
  bool regained = false;
  calls.SetRegainedHandler([&] { regained = true; });
  int lists = 0;
  uint64_t revision = 0;
  const auto list = [&] {
    calls.Call(platform::ListRequest{.kind = kKind},
               MonotonicNow() + kListTimeout,
               [&](platform::StoreAnswer&& answer) {
                 REQUIRE(answer.outcome == platform::StoreOutcome::kOk);
                 revision = answer.revision;
                 ++lists;
               });
  };
  list();
  REQUIRE(caller.RunUntil([&] { return lists == 1; }));
  const auto watch = [&](TimePoint response_deadline, bool& lost) {
    return calls.Call(
        platform::WatchRequest{.kind = kKind,
                               .after = revision,
                               .wait_until = response_deadline - kWatchGrace,
                               .response_deadline = response_deadline},
        kNever, [&lost](platform::StoreAnswer&& answer) {
          lost = answer.outcome == platform::StoreOutcome::kUnknown;
        });
  };
  const TimePoint sent_at = MonotonicNow();
  bool abandoned_lost = false;
  bool current_lost = false;
  const uint64_t abandoned =
      watch(sent_at + std::chrono::milliseconds(600), abandoned_lost);
  watch(sent_at + std::chrono::milliseconds(5000), current_lost);
  caller.RunFor(std::chrono::milliseconds(100));
  proxy.Inject({.mode = harness::FaultMode::kFreeze, .permanent = true});
  calls.Abandon(abandoned);
  list();
  REQUIRE(caller.RunUntil([&] { return lists == 2; }));
  caller.RunUntil([&] {
    return MonotonicNow() > sent_at + std::chrono::milliseconds(900);
  });
  CHECK(calls.available());
  CHECK_FALSE(regained);
  CHECK_FALSE(abandoned_lost);
  // One that is still needed shows that the store may be unavailable.
  REQUIRE(caller.RunUntil([&] { return current_lost; }));
  CHECK_FALSE(calls.available());
}

}  // namespace knapweedstile::gateway
