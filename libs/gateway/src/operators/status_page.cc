#include "operators/status_page.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "base/clock.h"
#include "gateway/gateway_settings.h"
#include "objects/selector.h"
#include "operators/policy_view.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

json::object Pace(const serving::SlotScheduler& scheduler, BackendServerId id) {
  const serving::ServerPace& pace = scheduler.pace();
  const serving::ServerProcessId process = scheduler.Process(id);
  return {{"standing", NameOf(pace.StandingOf(process))},
          {"slowness", pace.SlownessOf(process)},
          {"failure_share", pace.FailureShareOf(process)}};
}

json::array Servers(const serving::SlotScheduler& scheduler,
                    const PolicyView& policies) {
  json::array servers;
  for (const BackendServerId id : scheduler.Servers()) {
    const serving::ServerRecord& record = *scheduler.Record(id);
    const serving::ServerUsage usage = scheduler.UsageOf(id);
    json::object labels;
    for (const auto& [name, value] : policies.LabelsOf(record)) {
      labels[name] = value;
    }
    servers.push_back(
        json::object{{"name", record.instance},
                     {"address", record.address},
                     {"target", record.service},
                     {"availability_zone", record.availability_zone},
                     {"state", record.draining ? "draining" : "ready"},
                     {"policy", scheduler.SharingPolicyName(id)},
                     {"pace", Pace(scheduler, id)},
                     {"labels", std::move(labels)},
                     {"load", json::object{{"slots", record.slots},
                                           {"online", usage.online},
                                           {"batch", usage.batch}}}});
  }
  return servers;
}

json::array Policies(const objects::Catalog& catalog) {
  json::array policies;
  const auto shadowed = catalog.ShadowedPolicies();
  for (const auto& [name, policy] : catalog.policies()) {
    json::array by;
    const auto others = shadowed.find(name);
    if (others != shadowed.end()) {
      for (const std::string& other : others->second)
        by.push_back(json::string(other));
    }
    policies.push_back(json::object{{"name", name},
                                    {"version", policy.version},
                                    {"sharing", NameOf(policy.sharing.kind)},
                                    {"shadowed_by", std::move(by)}});
  }
  return policies;
}

// Counts the ready servers that a placement selects and that serve its model.
json::array Placements(const serving::SlotScheduler& scheduler,
                       const PolicyView& policies) {
  json::array placements;
  for (const auto& [name, placement] : policies.catalog().placements()) {
    uint32_t serving = 0;
    for (const BackendServerId id : scheduler.Servers()) {
      const serving::ServerRecord& record = *scheduler.Record(id);
      const bool counts =
          record.service == placement.model && !record.draining &&
          objects::Matches(placement.engines, policies.LabelsOf(record));
      serving += counts ? 1 : 0;
    }
    placements.push_back(json::object{{"name", name},
                                      {"model", placement.model},
                                      {"replicas", placement.replicas},
                                      {"serving", serving}});
  }
  return placements;
}

json::array RejectedObjects(const objects::Catalog& catalog) {
  json::array rejected;
  for (const objects::RejectedObject& object : catalog.RejectedObjects()) {
    rejected.push_back(json::object{{"object", object.id},
                                    {"version", object.version},
                                    {"in_force", object.active_version},
                                    {"reason", object.reason}});
  }
  return rejected;
}

}  // namespace

std::string RenderStatus(const GatewaySettings& settings, bool draining,
                         uint64_t configuration,
                         const serving::SlotScheduler& scheduler,
                         const PolicyView& policies) {
  const objects::Catalog& catalog = policies.catalog();
  return json::serialize(
      json::object{{"node", settings.name},
                   {"role", "gateway"},
                   {"availability_zone", settings.availability_zone},
                   {"configuration", configuration},
                   {"config_revision", catalog.revision()},
                   {"config_digest", fmt::format("{:016x}", catalog.digest())},
                   {"draining", draining},
                   {"backend_servers", Servers(scheduler, policies)},
                   {"policies", Policies(catalog)},
                   {"placements", Placements(scheduler, policies)},
                   {"refused_objects", RejectedObjects(catalog)}});
}

std::string RenderTimeline(const std::string& node,
                           const observe::Timeline& timeline, uint64_t after) {
  constexpr size_t kMaxEvents = 5000;
  std::string text =
      json::serialize(json::object{{"node", node},
                                   {"wall_clock_nanos", WallClockNanos()},
                                   {"last", timeline.last_sequence()}});
  // The events are already serialized; insert them before the closing brace.
  text.pop_back();
  return text + ",\"events\":" + timeline.EventsJson(after, kMaxEvents) + "}";
}

}  // namespace knapweedstile::gateway
