#ifndef KNAPWEEDSTILE_PLATFORM_MEMORY_PLATFORM_H_
#define KNAPWEEDSTILE_PLATFORM_MEMORY_PLATFORM_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/call_counts.h"
#include "platform/store_answer.h"
#include "platform/store_request.h"

namespace knapweedstile::platform {

// The platform's object API in memory, for tests and benches: one history of
// versions, conditional updates, lists and watches, and the failures that the
// real one shows. A watch is answered at once, empty when nothing changed.
class MemoryPlatform {
 public:
  // Performs one call and answers it.
  StoreAnswer Execute(const StoreRequest& request);

  // While out, every call is answered kNotSent and takes no effect.
  void SetOutage(bool out) noexcept { outage_ = out; }
  // The next `count` writes and deletes take effect, but answer kUnknown.
  void LoseAnswers(uint32_t count) noexcept { lose_answers_ = count; }
  // The next `count` writes and deletes answer kUnknown without any effect.
  void LoseRequests(uint32_t count) noexcept { lose_requests_ = count; }
  // Before each of the next `count` writes to an existing object, another
  // writer rewrites it with the same value, so that the version moves on.
  void InjectConflicts(uint32_t count) noexcept { inject_conflicts_ = count; }
  // The next `count` calls are answered kThrottled.
  void Throttle(uint32_t count) noexcept { throttle_ = count; }
  void SetVms(std::vector<Vm> vms) { vms_ = std::move(vms); }
  void ResetCounts() noexcept { counts_ = {}; }

  const CallCounts& counts() const noexcept { return counts_; }
  uint64_t revision() const noexcept { return revision_; }
  // The live object, or null. Not counted as a call.
  const StoredObject* Find(std::string_view kind, std::string_view name) const;
  // Live objects of `kind` in order of name. Not counted as a call.
  std::vector<const StoredObject*> All(std::string_view kind) const;

 private:
  using Key = std::pair<std::string, std::string>;

  bool Refused(StoreAnswer& answer);
  void Perform(const ReadRequest& call, StoreAnswer& answer);
  void Perform(const WriteRequest& call, StoreAnswer& answer);
  void Perform(const DeleteRequest& call, StoreAnswer& answer);
  void Perform(const ListRequest& call, StoreAnswer& answer);
  void Perform(const WatchRequest& call, StoreAnswer& answer);
  void Perform(const VmListRequest& call, StoreAnswer& answer);
  void Change(const Key& key, std::string value, bool deleted);
  void Collect(const ListRequest& call, StoreAnswer& answer);
  bool LosesRequest(StoreAnswer& answer);
  void FinishWrite(StoreAnswer& answer);

  std::map<Key, StoredObject> objects_;
  std::map<uint64_t, Key> history_;  // the last change of each object
  std::vector<Vm> vms_;
  uint64_t revision_ = 0;
  CallCounts counts_;
  bool outage_ = false;
  uint32_t lose_answers_ = 0;
  uint32_t lose_requests_ = 0;
  uint32_t inject_conflicts_ = 0;
  uint32_t throttle_ = 0;
};

}  // namespace knapweedstile::platform

#endif  // KNAPWEEDSTILE_PLATFORM_MEMORY_PLATFORM_H_
