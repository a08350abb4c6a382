#include "platform/memory_platform.h"

#include <catch2/catch.hpp>

namespace knapweedstile::platform {

namespace {

StoreAnswer Write(MemoryPlatform& store, const std::string& name,
                  uint64_t if_version, const std::string& value) {
  return store.Execute({1, WriteRequest{"job", name, if_version, value}});
}

StoreAnswer List(MemoryPlatform& store, uint64_t after, uint32_t limit) {
  return store.Execute({1, ListRequest{"job", "a/", after, limit, true}});
}

}  // namespace

TEST_CASE("an update takes effect only at the version it names") {
  MemoryPlatform store;
  const StoreAnswer created = Write(store, "a/1", 0, "x");
  REQUIRE(created.outcome == StoreOutcome::kOk);
  const StoreAnswer again = Write(store, "a/1", 0, "y");
  REQUIRE(again.outcome == StoreOutcome::kConflict);
  REQUIRE(again.version == created.version);
  REQUIRE(Write(store, "a/1", created.version, "y").outcome ==
          StoreOutcome::kOk);
  REQUIRE(store.Find("job", "a/1")->value == "y");
  REQUIRE(store.counts().conflicts == 1);
}

TEST_CASE("a list pages by rising version and shows deletions") {
  MemoryPlatform store;
  const uint64_t first = Write(store, "a/1", 0, "x").version;
  Write(store, "b/1", 0, "x");
  Write(store, "a/2", 0, "x");
  Write(store, "a/3", 0, "x");
  const StoreAnswer page = List(store, 0, 2);
  REQUIRE(page.more);
  REQUIRE(page.objects.size() == 2);
  REQUIRE(List(store, page.revision, 2).objects[0].name == "a/3");
  store.Execute({1, DeleteRequest{"job", "a/1", first}});
  REQUIRE(List(store, 0, 9).objects.size() == 2);
  REQUIRE(List(store, first, 9).objects.back().deleted);
}

// Story: the platform applies a write, and its answer is cut off; or the write
// never arrives. The writer sees the same kUnknown for both, so only reading
// the object back tells them apart.
TEST_CASE("a lost answer hides whether the write took effect") {
  MemoryPlatform store;
  store.LoseAnswers(1);
  REQUIRE(Write(store, "a/1", 0, "x").outcome == StoreOutcome::kUnknown);
  REQUIRE(store.Find("job", "a/1") != nullptr);
  store.LoseRequests(1);
  REQUIRE(Write(store, "a/2", 0, "x").outcome == StoreOutcome::kUnknown);
  REQUIRE(store.Find("job", "a/2") == nullptr);
  store.SetOutage(true);
  REQUIRE(Write(store, "a/2", 0, "x").outcome == StoreOutcome::kNotSent);
}

}  // namespace knapweedstile::platform
