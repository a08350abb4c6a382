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

// Brings the backend servers' own entries onto the slot board.
//
// Failure guarded against: entries lapse while the store is away, though their
// servers live; dropping them at its return would leave the fleet without
// servers until they are written again. An entry that is missing just after an
// outage is therefore kept until the time in which a live server is back.
class ServerDirectory {
 public:
  // Told the id that a server had before its process started again, and where
  // that was: what that process held is lost.
  using RestartCallback =
      std::function<void(BackendServerId former, const std::string& address)>;

  ServerDirectory(serving::SlotScheduler& board, RestartCallback restarted)
      : scheduler_(board), on_restart_(std::move(restarted)) {}

  void OnListed(std::vector<platform::StoredObject>&& objects, TimePoint now,
                TimePoint store_regained);
  void OnChanged(platform::StoredObject&& object, TimePoint now,
                 TimePoint store_regained);
  // Removes what is still missing once its time has come.
  // Whether any was removed.
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
  std::map<std::string, TimePoint> missing_;  // removed from then on
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_SERVER_DIRECTORY_H_
