#ifndef KNAPWEEDSTILE_GATEWAY_POLICY_VIEW_H_
#define KNAPWEEDSTILE_GATEWAY_POLICY_VIEW_H_

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "objects/catalog.h"
#include "objects/labels.h"
#include "platform/store_answer.h"
#include "serving/route.h"
#include "serving/server_record.h"
#include "serving/slot_scheduler.h"

namespace knapweedstile::gateway {

// Applies the operators' objects to the backend servers: how each server is
// shared between online and batch, and which servers a route's traffic may use.
// In the operators' objects, a backend server is an engine and its service a
// model.
//
// A backend server's labels are `service`, `availability_zone` and `software`
// of its record, and those of the engine object whose `vm` is the server's
// address or its VM's. A request's labels are `route`, `host` and `kind` of its
// route, and those of its caller's workspace.
class PolicyView {
 public:
  explicit PolicyView(serving::SlotScheduler& scheduler)
      : scheduler_(scheduler) {}

  // Commands.
  void OnListed(std::vector<platform::StoredObject>&& objects);
  void OnChanged(platform::StoredObject&& object);
  // Updates the scheduler after servers or objects have changed.
  void UpdateServerPolicies();

  // Queries.
  // The service's servers that the policy of this traffic does not select.
  // Empty if the policy selects no registered server, so that a selector
  // without any match does not stop its traffic.
  const std::vector<BackendServerId>& ExcludedServers(
      const serving::Route& route, const std::string& service,
      const std::string& workspace);
  const objects::Catalog& catalog() const noexcept { return catalog_; }
  objects::Labels LabelsOf(const serving::ServerRecord& record) const;

 private:
  void Apply(const platform::StoredObject& object);
  std::vector<BackendServerId> FindExcludedServers(
      const objects::Labels& traffic, const std::string& service) const;
  objects::Labels TrafficLabels(const serving::Route& route,
                                const std::string& workspace) const;

  serving::SlotScheduler& scheduler_;
  objects::Catalog catalog_;
  std::map<std::string, uint64_t> versions_;  // of existing objects, by name
  std::map<BackendServerId, std::string> server_policies_;  // NAME@VERSION
  std::map<std::string, std::vector<BackendServerId>>
      excluded_servers_;  // cache
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_POLICY_VIEW_H_
