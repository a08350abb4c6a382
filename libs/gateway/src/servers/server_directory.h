#ifndef KNAPWEEDSTILE_GATEWAY_SERVER_DIRECTORY_H_
#define KNAPWEEDSTILE_GATEWAY_SERVER_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "platform/store_answer.h"
#include "serving/server_record.h"
#include "serving/slot_scheduler.h"

namespace knapweedstile::gateway {

// Applies the registrations of backend servers to the slot scheduler.
//
// Guards against losing all servers after an outage of the store: registrations
// expire during the outage although their servers are alive. A registration
// that is missing just after an outage is therefore kept for the time within
// which a live server registers again.
class ServerDirectory {
 public:
  // Called when the process of a server has been replaced, with the ID and the
  // address of the previous one. Requests on that process are lost.
  using RestartCallback =
      std::function<void(BackendServerId previous, const std::string& address)>;

  ServerDirectory(serving::SlotScheduler& scheduler, RestartCallback on_restart)
      : scheduler_(scheduler), on_restart_(std::move(on_restart)) {}

  void OnListed(std::vector<platform::StoredObject>&& objects, TimePoint now,
                TimePoint store_regained);
  void OnChanged(platform::StoredObject&& object, TimePoint now,
                 TimePoint store_regained);
  // Removes servers whose registration is missing for too long. Returns whether
  // any was removed.
  bool Expire(TimePoint now);

  size_t size() const noexcept { return records_.size(); }

 private:
  void ApplyRecord(const platform::StoredObject& object);
  void RemoveInvalid(const std::string& instance);
  void MarkMissing(const std::string& instance, TimePoint now,
                   TimePoint store_regained);

  serving::SlotScheduler& scheduler_;
  RestartCallback on_restart_;
  std::map<std::string, serving::ServerRecord> records_;
  std::map<std::string, TimePoint> missing_;  // time of removal
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_SERVER_DIRECTORY_H_
