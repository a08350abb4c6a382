#ifndef KNAPWEEDSTILE_KNAPCTL_OBJECT_STORE_H_
#define KNAPWEEDSTILE_KNAPCTL_OBJECT_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "exit_code.h"

namespace knapweedstile::ctl {

// Result of one operation; `version` and `value` are those of the stored
// object.
struct ObjectResponse {
  ExitCode code = ExitCode::kUnavailable;
  uint64_t version = 0;
  std::string value;
  std::string message;
};

struct ListedObject {
  std::string name;
  uint64_t version = 0;
  std::string value;
};

// Client of the objects API of a gateway; `address` is its admin address.
class ObjectStore {
 public:
  explicit ObjectStore(std::string address) : address_(std::move(address)) {}

  ObjectResponse Read(const std::string& kind, const std::string& name) const;
  // Writes only if the stored version is `if_version` (0: creates the object),
  // else returns kConflict. If the response is lost, reads the object back to
  // find out whether the write was applied.
  ObjectResponse Write(const std::string& kind, const std::string& name,
                       uint64_t if_version, const std::string& value) const;
  ObjectResponse Delete(const std::string& kind, const std::string& name,
                        uint64_t if_version) const;
  // Appends all objects of the kind, without deleted ones.
  ExitCode List(const std::string& kind,
                std::vector<ListedObject>* objects) const;

 private:
  std::string address_;
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_OBJECT_STORE_H_
