#include "servers/server_directory.h"

#include <boost/leaf/handle_errors.hpp>
#include <set>
#include <utility>

#include "base/log.h"
#include "users_platform/configuration.h"

namespace knapweedstile::gateway {
namespace {

// Live servers register again within two seconds after the store has recovered.
constexpr std::chrono::milliseconds kReregistrationTime{2100};

bool SameRecord(const serving::ServerRecord& a,
                const serving::ServerRecord& b) {
  return a.service == b.service && a.address == b.address &&
         a.draining == b.draining && a.slots == b.slots &&
         a.software == b.software && a.start == b.start;
}

}  // namespace

void ServerDirectory::ApplyRecord(const platform::StoredObject& object) {
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
  if (!valid) return RemoveInvalid(object.name);
  const auto known = records_.find(object.name);
  if (known != records_.end() && SameRecord(known->second, record)) return;
  const BackendServerId previous = scheduler_.Find(object.name);
  const std::string address =
      known == records_.end() ? std::string() : known->second.address;
  LogInfo("server_changed", {{"instance", record.instance},
                             {"service", record.service},
                             {"address", record.address},
                             {"software", record.software},
                             {"start", record.start},
                             {"draining", record.draining},
                             {"revision", object.version}});
  scheduler_.Upsert(record);
  records_[object.name] = std::move(record);
  if (previous && previous != scheduler_.Find(object.name)) {
    on_restart_(previous, address);
  }
}

// Guards against a registration that another writer has overwritten. Keeping
// the previous one would send requests to a server that may no longer be there.
void ServerDirectory::RemoveInvalid(const std::string& instance) {
  missing_.erase(instance);
  if (records_.erase(instance) > 0) scheduler_.Remove(instance);
}

void ServerDirectory::MarkMissing(const std::string& instance, TimePoint now,
                                  TimePoint store_regained) {
  if (!records_.contains(instance) || missing_.contains(instance)) return;
  missing_[instance] = std::max(now, store_regained + kReregistrationTime);
  Expire(now);
}

void ServerDirectory::OnListed(std::vector<platform::StoredObject>&& objects,
                               TimePoint now, TimePoint store_regained) {
  std::set<std::string> present;
  for (const platform::StoredObject& object : objects) {
    present.insert(object.name);
    ApplyRecord(object);
  }
  std::vector<std::string> absent;
  for (const auto& [instance, record] : records_) {
    if (!present.contains(instance)) absent.push_back(instance);
  }
  for (const std::string& instance : absent)
    MarkMissing(instance, now, store_regained);
}

void ServerDirectory::OnChanged(platform::StoredObject&& object, TimePoint now,
                                TimePoint store_regained) {
  if (object.deleted) return MarkMissing(object.name, now, store_regained);
  ApplyRecord(object);
}

bool ServerDirectory::Expire(TimePoint now) {
  const size_t removed = std::erase_if(missing_, [&](const auto& element) {
    if (element.second > now) return false;
    LogInfo("server_gone", {{"instance", element.first}});
    scheduler_.Remove(element.first);
    records_.erase(element.first);
    return true;
  });
  return removed > 0;
}

}  // namespace knapweedstile::gateway
