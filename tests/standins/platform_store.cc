#include "platform_store.h"

namespace knapweedstile::standins {
namespace {

// A page ends beyond this, so that a list of large values stays readable.
constexpr size_t kMaxPageBytes = 8 << 20;

}  // namespace

const PlatformStore::Object* PlatformStore::Find(
    const std::string& kind, const std::string& name) const {
  const auto found = objects_.find({kind, name});
  return found == objects_.end() ? nullptr : &found->second;
}

uint64_t PlatformStore::VersionOf(const std::string& kind,
                                  const std::string& name) const {
  const Object* object = Find(kind, name);
  return object && !object->deleted ? object->version : 0;
}

PlatformStore::Page PlatformStore::List(const Query& query) const {
  Page page{.revision = revision_};
  size_t bytes = 0;
  for (auto it = by_version_.upper_bound(query.after); it != by_version_.end();
       ++it) {
    const Object& object = objects_.at(it->second);
    if (!query.kinds.contains(object.kind)) continue;
    if (!object.name.starts_with(query.prefix)) continue;
    if (object.deleted && query.after == 0) continue;
    if (page.objects.size() >= query.limit || bytes > kMaxPageBytes) {
      page.more = true;
      page.revision = page.objects.back()->version;
      break;
    }
    bytes += object.value.size();
    page.objects.push_back(&object);
  }
  return page;
}

uint64_t PlatformStore::Write(const std::string& kind, const std::string& name,
                              uint64_t if_version, std::string value) {
  if (VersionOf(kind, name) != if_version) return 0;
  return Change({kind, name}, false, std::move(value));
}

uint64_t PlatformStore::Delete(const std::string& kind, const std::string& name,
                               uint64_t if_version) {
  if (if_version == 0 || VersionOf(kind, name) != if_version) return 0;
  return Change({kind, name}, true, {});
}

uint64_t PlatformStore::Change(const Key& key, bool deleted,
                               std::string value) {
  Object& object = objects_[key];
  by_version_.erase(object.version);
  object = {key.first, key.second, ++revision_, deleted, std::move(value)};
  by_version_[object.version] = key;
  return object.version;
}

}  // namespace knapweedstile::standins
