#include "fleet/config_store.h"

#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile::fleet {
namespace {

using platform::StoredObject;

StoredObject Policy(const std::string& name, uint64_t version,
                    bool deleted = false) {
  return {"policy", name, version, deleted,
          deleted ? "" : name + "@" + std::to_string(version)};
}

uint64_t VersionOf(const ConfigStore& store, const std::string& name) {
  const StoredObject* object = store.Find("policy", name);
  return object == nullptr || object->deleted ? 0 : object->version;
}

// What `from` would send to `to`, taken over.
void Pull(ConfigStore& to, const ConfigStore& from) {
  std::vector<StoredObject> objects;
  uint64_t since = 0;
  uint64_t revision = 0;
  bool full = false;
  for (const pb::ConfigDelta& part :
       from.ChangesSince(to.revision(), false, 10)) {
    for (const pb::ConfigObject& o : part.objects()) {
      objects.push_back(
          {o.kind(), o.name(), o.revision(), o.deleted(), o.value()});
    }
    since = part.since();
    revision = part.revision();
    full = part.full();
  }
  if (full) {
    to.AdoptAll(std::move(objects), revision);
  } else {
    to.Adopt(std::move(objects), since, revision);
  }
}

}  // namespace

TEST_CASE("only higher versions are taken") {
  ConfigStore store;
  REQUIRE(store.AdoptAll({Policy("a", 3), Policy("b", 5)}, 9).size() == 2);
  REQUIRE(store.Adopt({Policy("a", 12), Policy("b", 4)}, 9, 12).size() == 1);
  REQUIRE(VersionOf(store, "a") == 12);
  REQUIRE(VersionOf(store, "b") == 5);
  REQUIRE(store.Adopt({Policy("a", 11)}, 9, 11).empty());
  REQUIRE(store.revision() == 12);
}

TEST_CASE("changes with a hole before them are not taken") {
  // An answer meant for a node that knew more would hide the changes between.
  ConfigStore store;
  store.AdoptAll({Policy("a", 3)}, 9);
  REQUIRE(store.Adopt({Policy("b", 15)}, 12, 15).empty());
  REQUIRE(store.revision() == 9);
}

TEST_CASE("an older whole state takes nothing back") {
  // A peer that was cut off answers late with everything it has.
  ConfigStore store;
  store.AdoptAll({Policy("a", 3), Policy("b", 8)}, 9);
  REQUIRE(store.AdoptAll({Policy("a", 3)}, 5).empty());
  REQUIRE(VersionOf(store, "b") == 8);
  REQUIRE(store.revision() == 9);
}

TEST_CASE("a deleted object does not come back from a node that was away") {
  // Policy "a" is deleted at 10 while one node is cut off. The others restart,
  // so that nobody remembers the deletion. The node comes back and shows "a":
  // it must lose it, and must not give it to the others.
  ConfigStore away;
  away.AdoptAll({Policy("a", 3), Policy("b", 5)}, 5);
  ConfigStore fresh;
  fresh.AdoptAll({Policy("b", 5)}, 20);  // listed after the deletion
  REQUIRE(fresh.Adopt({Policy("a", 3)}, 0, 5).empty());
  REQUIRE(VersionOf(fresh, "a") == 0);
  Pull(away, fresh);
  REQUIRE(VersionOf(away, "a") == 0);
  REQUIRE(away.digest() == fresh.digest());
  REQUIRE(away.revision() == 20);
}

TEST_CASE("a deletion reaches a node that is behind") {
  ConfigStore holder;
  holder.AdoptAll({Policy("a", 3)}, 3);
  ConfigStore behind;
  Pull(behind, holder);
  REQUIRE(holder.Adopt({Policy("a", 7, true)}, 3, 7).size() == 1);
  REQUIRE(holder.size() == 0);
  Pull(behind, holder);
  REQUIRE(VersionOf(behind, "a") == 0);
  REQUIRE(behind.revision() == 7);
}

TEST_CASE("remembered deletions are bounded, and who is below gets all") {
  ConfigStore holder;
  holder.AdoptAll({Policy("stays", 1), Policy("goes", 2)}, 2);
  ConfigStore behind;
  Pull(behind, holder);
  uint64_t version = 2;
  for (size_t i = 0; i < ConfigStore::kMostDeletions + 10; ++i) {
    const std::string name = i == 0 ? "goes" : "x" + std::to_string(i);
    ++version;
    holder.Adopt({Policy(name, version, true)}, holder.revision(), version);
  }
  REQUIRE(holder.floor() > behind.revision());
  REQUIRE(holder.ChangesSince(behind.revision(), false, 1000)[0].full());
  Pull(behind, holder);
  REQUIRE(behind.digest() == holder.digest());
  REQUIRE(behind.size() == 1);
}

TEST_CASE("the digest does not depend on the way") {
  ConfigStore one;
  one.AdoptAll({Policy("a", 3), Policy("b", 5)}, 5);
  one.Adopt({Policy("a", 8), Policy("c", 7)}, 5, 8);
  one.Adopt({Policy("b", 9, true)}, 8, 9);
  ConfigStore other;
  other.AdoptAll({Policy("c", 7), Policy("a", 8)}, 9);
  REQUIRE(one.digest() == other.digest());
  REQUIRE(one.digest() ==
          ConfigStore::DigestOf({Policy("c", 7), Policy("a", 8)}));
}

TEST_CASE("a snapshot restores the store, a damaged one nothing") {
  // The VM is lost while the cache file is written. The next process must not
  // serve half a configuration.
  ConfigStore store;
  store.AdoptAll({Policy("a", 3)}, 5);
  store.Adopt({Policy("b", 7), Policy("a", 8, true)}, 5, 8);
  const std::string bytes = store.Snapshot();
  ConfigStore restored;
  REQUIRE(restored.Restore(bytes));
  REQUIRE(restored.digest() == store.digest());
  REQUIRE(restored.revision() == 8);
  REQUIRE(restored.floor() == 5);
  REQUIRE(restored.Adopt({Policy("a", 4)}, 0, 4).empty());
  for (size_t size = 0; size < bytes.size(); ++size) {
    ConfigStore damaged;
    REQUIRE_FALSE(damaged.Restore(bytes.substr(0, size)));
    REQUIRE(damaged.revision() == 0);
  }
}

}  // namespace knapweedstile::fleet
