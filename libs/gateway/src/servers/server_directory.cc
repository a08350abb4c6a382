#include "servers/server_directory.h"

#include <boost/leaf/handle_errors.hpp>
#include <set>
#include <utility>

#include "base/log.h"
#include "users_platform/configuration.h"

namespace knapweedstile::gateway {
namespace {

// Live servers are back within two seconds of the store's return.
constexpr std::chrono::milliseconds kReturnTime{2100};

bool SameRecord(const serving::ServerRecord& a,
                const serving::ServerRecord& b) {
  return a.service == b.service && a.address == b.address &&
         a.draining == b.draining && a.slots == b.slots &&
         a.software == b.software && a.start == b.start;
}

}  // namespace

void ServerDirectory::Adopt(const platform::StoredObject& object) {
  missing_.erase(object.name);
  serving::ServerRecord record;
  const bool valid = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(parsed,
                        users_platform::ParseServer(object.name, object.value));
        record = std::move(parsed);
        return true;
      },
      [&](const Error& error) {
        LogWarning("server_entry_invalid",
                   {{"instance", object.name}, {"reason", error.message}});
        return false;
      },
      [] { return false; });
  if (!valid) return Forget(object.name);
  const auto known = known_.find(object.name);
  if (known != known_.end() && SameRecord(known->second, record)) return;
  const BackendServerId former = board_.Find(object.name);
  const std::string address =
      known == known_.end() ? std::string() : known->second.address;
  LogInfo("server_changed", {{"instance", record.instance},
                             {"service", record.service},
                             {"address", record.address},
                             {"start", record.start},
                             {"draining", record.draining},
                             {"revision", object.version}});
  board_.Upsert(record);
  known_[object.name] = std::move(record);
  if (former && former != board_.Find(object.name)) {
    restarted_(former, address);
  }
}

// Failure guarded against: another writer has put something over a server's
// entry. Going on by the entry before would send requests to a server that may
// long have left.
void ServerDirectory::Forget(const std::string& instance) {
  missing_.erase(instance);
  if (known_.erase(instance) > 0) board_.Remove(instance);
}

void ServerDirectory::Drop(const std::string& instance, TimePoint now,
                           TimePoint store_regained) {
  if (!known_.contains(instance) || missing_.contains(instance)) return;
  missing_[instance] = std::max(now, store_regained + kReturnTime);
  Expire(now);
}

void ServerDirectory::OnListed(std::vector<platform::StoredObject>&& objects,
                               TimePoint now, TimePoint store_regained) {
  std::set<std::string> present;
  for (const platform::StoredObject& object : objects) {
    present.insert(object.name);
    Adopt(object);
  }
  std::vector<std::string> gone;
  for (const auto& [instance, record] : known_) {
    if (!present.contains(instance)) gone.push_back(instance);
  }
  for (const std::string& instance : gone) Drop(instance, now, store_regained);
}

void ServerDirectory::OnChanged(platform::StoredObject&& object, TimePoint now,
                                TimePoint store_regained) {
  if (object.deleted) return Drop(object.name, now, store_regained);
  Adopt(object);
}

bool ServerDirectory::Expire(TimePoint now) {
  const size_t removed = std::erase_if(missing_, [&](const auto& entry) {
    if (entry.second > now) return false;
    LogInfo("server_gone", {{"instance", entry.first}});
    board_.Remove(entry.first);
    known_.erase(entry.first);
    return true;
  });
  return removed > 0;
}

}  // namespace knapweedstile::gateway
