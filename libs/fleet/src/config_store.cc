#include "fleet/config_store.h"

#include <algorithm>
#include <unordered_set>

#include "base/hash.h"

namespace knapweedstile::fleet {
namespace {

// Of the hash in front of a snapshot.
constexpr size_t kHashDigits = 16;

std::string KeyOf(const std::string& kind, const std::string& name) {
  std::string key;
  key.reserve(kind.size() + 1 + name.size());
  key.append(kind).append(1, '\0').append(name);
  return key;
}

// One object's share of the digest, which is their sum: the order in which
// objects arrived does not matter.
uint64_t HashOf(const platform::StoredObject& object) {
  return Hash64(KeyOf(object.kind, object.name), object.version);
}

void Write(const platform::StoredObject& object, pb::ConfigObject& message) {
  message.set_kind(object.kind);
  message.set_name(object.name);
  message.set_revision(object.version);
  message.set_deleted(object.deleted);
  message.set_value(object.value);
}

}  // namespace

std::vector<platform::StoredObject> ConfigStore::Adopt(
    std::vector<Object> objects, uint64_t since, uint64_t revision) {
  std::vector<Object> adopted;
  if (since > revision_) return adopted;
  for (Object& object : objects) {
    const bool known = Find(object.kind, object.name) != nullptr;
    // Absent although within the revision: it was deleted.
    if (!known && object.version <= revision_) continue;
    if (Put(object)) adopted.push_back(std::move(object));
  }
  revision_ = std::max(revision_, revision);
  ForgetDeletions(kMostDeletions);
  return adopted;
}

std::vector<platform::StoredObject> ConfigStore::AdoptAll(
    std::vector<Object> objects, uint64_t revision) {
  std::vector<Object> adopted;
  if (revision < revision_) return adopted;
  std::unordered_set<std::string> present;
  for (const Object& object : objects) {
    present.insert(KeyOf(object.kind, object.name));
  }
  std::vector<std::string> gone;
  for (const auto& [key, object] : objects_) {
    if (!object.deleted && !present.contains(key)) gone.push_back(key);
  }
  for (const std::string& key : gone) {
    const Object& object = objects_.at(key);
    adopted.push_back({object.kind, object.name, revision, true, ""});
    Erase(key);
  }
  for (Object& object : objects) {
    if (Put(object)) adopted.push_back(std::move(object));
  }
  revision_ = revision;
  ForgetDeletions(0);
  floor_ = revision;
  return adopted;
}

bool ConfigStore::Put(const Object& object) {
  std::string key = KeyOf(object.kind, object.name);
  const auto found = objects_.find(key);
  if (found != objects_.end()) {
    if (found->second.version >= object.version) return false;
    Erase(key);
  }
  const Object& kept = objects_.emplace(std::move(key), object).first->second;
  by_version_.emplace(kept.version, &kept);
  if (kept.deleted) {
    ++deletions_;
  } else {
    digest_ += HashOf(kept);
  }
  return true;
}

void ConfigStore::Erase(const std::string& key) {
  const auto found = objects_.find(key);
  const Object& object = found->second;
  if (object.deleted) {
    --deletions_;
  } else {
    digest_ -= HashOf(object);
  }
  by_version_.erase({object.version, &object});
  objects_.erase(found);
}

void ConfigStore::ForgetDeletions(size_t keep) {
  for (auto it = by_version_.begin();
       deletions_ > keep && it != by_version_.end();) {
    const Object& object = *it->second;
    ++it;
    if (!object.deleted) continue;
    floor_ = std::max(floor_, object.version);
    Erase(KeyOf(object.kind, object.name));
  }
}

uint64_t ConfigStore::DigestOf(const std::vector<Object>& objects) {
  uint64_t digest = 0;
  for (const Object& object : objects) digest += HashOf(object);
  return digest;
}

const platform::StoredObject* ConfigStore::Find(const std::string& kind,
                                                const std::string& name) const {
  const auto found = objects_.find(KeyOf(kind, name));
  return found == objects_.end() ? nullptr : &found->second;
}

std::vector<pb::ConfigDelta> ConfigStore::ChangesSince(
    uint64_t since, bool all, size_t part_bytes) const {
  // An empty asker needs no deletions either.
  all = all || since < floor_ || since == 0;
  std::vector<pb::ConfigDelta> parts;
  size_t bytes = part_bytes;  // the first object opens a part
  const auto open_part = [&] {
    if (!parts.empty()) parts.back().set_more(true);
    pb::ConfigDelta& part = parts.emplace_back();
    part.set_since(all ? 0 : since);
    part.set_revision(revision_);
    part.set_full(all);
    bytes = 0;
  };
  const uint64_t first = all ? 0 : since + 1;
  for (auto it = by_version_.lower_bound({first, nullptr});
       it != by_version_.end(); ++it) {
    const Object& object = *it->second;
    if (all && object.deleted) continue;
    if (bytes >= part_bytes) open_part();
    Write(object, *parts.back().add_objects());
    bytes += object.kind.size() + object.name.size() + object.value.size();
  }
  if (parts.empty()) open_part();
  return parts;
}

std::string ConfigStore::Snapshot() const {
  pb::ConfigDelta state;
  state.set_since(floor_);
  state.set_revision(revision_);
  for (const auto& [version, object] : by_version_) {
    Write(*object, *state.add_objects());
  }
  std::string bytes = state.SerializeAsString();
  return HexOf(Hash64(bytes)) + bytes;
}

bool ConfigStore::Restore(std::string_view bytes) {
  if (bytes.size() < kHashDigits || revision_ != 0) return false;
  const std::string_view body = bytes.substr(kHashDigits);
  // A file that was half written when its VM was lost fails here.
  if (bytes.substr(0, kHashDigits) != HexOf(Hash64(body))) return false;
  pb::ConfigDelta state;
  if (!state.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return false;
  }
  for (const pb::ConfigObject& object : state.objects()) {
    Put({object.kind(), object.name(), object.revision(), object.deleted(),
         object.value()});
  }
  revision_ = state.revision();
  floor_ = state.since();
  return true;
}

}  // namespace knapweedstile::fleet
