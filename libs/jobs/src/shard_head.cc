#include "jobs/shard_head.h"

#include <boost/json.hpp>

#include "json_fields.h"
#include "progress_json.h"

namespace knapweedstile::jobs {

namespace json = boost::json;

std::string Encode(const ShardHead& head) {
  json::object jobs;
  for (const auto& [hash, progress] : head.jobs) jobs[hash] = ToJson(progress);
  json::object object;
  object["fence"] = head.lease.fence;
  object["holder"] = head.lease.holder;
  object["incarnation"] = head.lease.incarnation;
  object["writer"] = head.lease.writer;
  object["next_sequence"] = head.next_sequence;
  object["intake_revision"] = head.intake_revision;
  object["jobs"] = std::move(jobs);
  return json::serialize(object);
}

std::optional<ShardHead> DecodeShardHead(std::string_view value) {
  const auto object = ParseObject(value);
  if (!object) return std::nullopt;
  const json::object* jobs = ObjectAt(*object, "jobs");
  if (jobs == nullptr) return std::nullopt;
  ShardHead head;
  head.lease.fence = UintAt(*object, "fence");
  head.lease.holder = TextAt(*object, "holder");
  head.lease.incarnation = UintAt(*object, "incarnation");
  head.lease.writer = TextAt(*object, "writer");
  head.next_sequence = UintAt(*object, "next_sequence");
  head.intake_revision = UintAt(*object, "intake_revision");
  for (const auto& entry : *jobs) {
    if (!entry.value().is_object()) return std::nullopt;
    auto progress = ProgressFromJson(entry.value().get_object());
    if (!progress) return std::nullopt;
    head.jobs[std::string(entry.key())] = std::move(*progress);
  }
  return head;
}

}  // namespace knapweedstile::jobs
