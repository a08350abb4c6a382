#ifndef KNAPWEEDSTILE_FLEET_TESTS_FAKE_PLATFORM_H_
#define KNAPWEEDSTILE_FLEET_TESTS_FAKE_PLATFORM_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/config_store.h"
#include "fleet/watch_answer.h"

namespace knapweedstile::fleet {

// The platform's objects as the spread meets them: one history of versions,
// answers in parts, deletions shown only to those who have seen more than
// nothing.
class FakePlatform {
 public:
  explicit FakePlatform(size_t part_objects = 7) : part_(part_objects) {}

  void Put(const std::string& name, std::string value) {
    ++version_;
    objects_[name] = {"policy", name, version_, false, std::move(value)};
  }
  void Delete(const std::string& name) {
    if (!objects_.contains(name) || objects_[name].deleted) return;
    ++version_;
    objects_[name] = {"policy", name, version_, true, ""};
  }
  // Objects of other kinds are written: jobs, results, leases.
  void WriteOtherKinds(uint64_t count) { version_ += count; }

  WatchAnswer Answer(uint64_t after) const {
    WatchAnswer answer;
    answer.ok = true;
    answer.revision = version_;
    for (const auto& [name, object] : objects_) {
      if (object.version <= after || (object.deleted && after == 0)) continue;
      answer.objects.push_back(object);
    }
    std::sort(answer.objects.begin(), answer.objects.end(),
              [](auto& a, auto& b) { return a.version < b.version; });
    if (answer.objects.size() <= part_) return answer;
    answer.objects.resize(part_);
    answer.revision = answer.objects.back().version;
    answer.more = true;
    return answer;
  }

  uint64_t version() const { return version_; }
  uint64_t digest() const {
    std::vector<platform::StoredObject> live;
    for (const auto& [name, object] : objects_) {
      if (!object.deleted) live.push_back(object);
    }
    return ConfigStore::DigestOf(live);
  }

  bool out = false;  // every call fails

 private:
  size_t part_;
  uint64_t version_ = 0;
  std::map<std::string, platform::StoredObject> objects_;
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_TESTS_FAKE_PLATFORM_H_
