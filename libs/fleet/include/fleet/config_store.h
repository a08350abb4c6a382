#ifndef KNAPWEEDSTILE_FLEET_CONFIG_STORE_H_
#define KNAPWEEDSTILE_FLEET_CONFIG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "knapweedstile.pb.h"
#include "platform/store_answer.h"

namespace knapweedstile::fleet {

// The configuration in force on one node: for each object its newest version.
//
// `revision` is a point in the platform's one history up to which this store
// knows every change of the configuration. It moves only when the configuration
// does, so that nodes with the same configuration show the same revision while
// other kinds of objects are written hundreds of times a second.
//
// Failures guarded against:
// - An old answer arrives late, or a node that was away offers what it had: an
//   object would go back. Only a higher version replaces a present one.
// - A deleted object comes back from a node that has not heard of its end. An
//   object that is absent here, though its version is within `revision`, was
//   deleted and is not taken.
// - A deletion is no longer remembered by anyone: `floor` is the revision from
//   which on deletions are remembered here; who asks from below it is given the
//   whole state and drops what is not in it.
class ConfigStore {
 public:
  // Deletions remembered; about 320 bytes each (bench/spread_bench). At 840
  // replaced VMs a day whose engine objects go, this is four days.
  static constexpr size_t kMostDeletions = 4000;

  // Takes changes that are complete between `since` and `revision`. Returns
  // those that took effect, in order. Nothing is taken when `since` is above
  // the own revision, since changes between would be missing.
  std::vector<platform::StoredObject> Adopt(
      std::vector<platform::StoredObject> objects, uint64_t since,
      uint64_t revision);
  // Takes the whole state as of `revision`: what is not in `objects` is
  // dropped, and reported as deleted. Nothing happens when `revision` is below
  // the own one.
  std::vector<platform::StoredObject> AdoptAll(
      std::vector<platform::StoredObject> objects, uint64_t revision);
  // Replaces an empty store by `bytes` of Snapshot. False: damaged, and the
  // store stays empty.
  bool Restore(std::string_view bytes);

  uint64_t revision() const noexcept { return revision_; }
  uint64_t floor() const noexcept { return floor_; }
  // Over names and versions of what is in force; the same on two nodes with the
  // same configuration, whichever way it came.
  uint64_t digest() const noexcept { return digest_; }
  // The digest that a store with these objects in force would have.
  static uint64_t DigestOf(const std::vector<platform::StoredObject>& objects);
  size_t size() const noexcept { return objects_.size() - deletions_; }
  const platform::StoredObject* Find(const std::string& kind,
                                     const std::string& name) const;
  // What an asker at `since` lacks, in parts of about `part_bytes`, at least
  // one. The whole state when `all` is set or `since` is below the floor.
  std::vector<pb::ConfigDelta> ChangesSince(uint64_t since, bool all,
                                            size_t part_bytes) const;
  // For a cache file; the platform and the peers stay the source of truth.
  std::string Snapshot() const;

 private:
  using Object = platform::StoredObject;

  bool Put(const Object& object);
  void Erase(const std::string& key);
  void ForgetDeletions(size_t keep);

  std::unordered_map<std::string, Object> objects_;  // deletions too
  // The same by version. The map's elements do not move.
  std::set<std::pair<uint64_t, const Object*>> by_version_;
  size_t deletions_ = 0;
  uint64_t revision_ = 0;
  uint64_t floor_ = 0;
  uint64_t digest_ = 0;
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_CONFIG_STORE_H_
