#ifndef KNAPWEEDSTILE_STANDINS_PLATFORM_STORE_H_
#define KNAPWEEDSTILE_STANDINS_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedstile::standins {

// The platform's objects with one history: every accepted change gets the next
// version.
class PlatformStore {
 public:
  struct Object {
    std::string kind;
    std::string name;
    uint64_t version = 0;
    bool deleted = false;
    std::string value;
  };

  struct Query {
    std::set<std::string> kinds;
    std::string prefix;
    uint64_t after = 0;
    uint64_t limit = 500;
  };

  struct Page {
    std::vector<const Object*> objects;  // valid until the next change
    uint64_t revision = 0;
    bool more = false;
  };

  // The object, deleted or not; null when there never was one.
  const Object* Find(const std::string& kind, const std::string& name) const;
  // The version that a conditional update has to name; zero: absent.
  uint64_t VersionOf(const std::string& kind, const std::string& name) const;
  Page List(const Query& query) const;
  uint64_t revision() const noexcept { return revision_; }

  // The new version, or zero when `if_version` is not the present one.
  uint64_t Write(const std::string& kind, const std::string& name,
                 uint64_t if_version, std::string value);
  uint64_t Delete(const std::string& kind, const std::string& name,
                  uint64_t if_version);

 private:
  using Key = std::pair<std::string, std::string>;

  uint64_t Change(const Key& key, bool deleted, std::string value);

  std::map<Key, Object> objects_;
  std::map<uint64_t, Key> by_version_;  // each object's last change only
  uint64_t revision_ = 0;
};

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_PLATFORM_STORE_H_
