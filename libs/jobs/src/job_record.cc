#include "jobs/job_record.h"

#include <boost/json.hpp>

#include "json_fields.h"
#include "progress_json.h"

namespace knapweedstile::jobs {

namespace json = boost::json;

std::string Encode(const JobRecord& record) {
  json::array inputs;
  for (const InputSegmentRef& segment : record.inputs) {
    inputs.emplace_back(segment.first);
    inputs.emplace_back(segment.count);
  }
  json::object object;
  object["workspace"] = record.workspace;
  object["key"] = record.key;
  object["body_hash"] = record.body_hash;
  object["total"] = record.total;
  object["created_ms"] = record.created_ms;
  object["due_ms"] = record.due_ms;
  object["state"] = NameOf(record.state);
  object["inputs"] = std::move(inputs);
  if (IsFinal(record.state)) object["progress"] = ToJson(record.progress);
  return json::serialize(object);
}

std::optional<JobRecord> DecodeJobRecord(std::string_view value) {
  const auto object = ParseObject(value);
  if (!object) return std::nullopt;
  const auto state = ParseEnum<JobState>(TextAt(*object, "state"));
  if (!state) return std::nullopt;
  JobRecord record;
  record.workspace = TextAt(*object, "workspace");
  record.key = TextAt(*object, "key");
  record.body_hash = TextAt(*object, "body_hash");
  record.total = static_cast<uint32_t>(UintAt(*object, "total"));
  record.created_ms = IntAt(*object, "created_ms");
  record.due_ms = IntAt(*object, "due_ms");
  record.state = *state;
  const std::vector<uint64_t> inputs = UintsAt(*object, "inputs");
  for (size_t i = 0; i + 1 < inputs.size(); i += 2) {
    record.inputs.push_back({static_cast<uint32_t>(inputs[i]),
                             static_cast<uint32_t>(inputs[i + 1])});
  }
  if (const json::object* progress = ObjectAt(*object, "progress")) {
    auto read = ProgressFromJson(*progress);
    if (!read) return std::nullopt;
    record.progress = std::move(*read);
  }
  return record;
}

}  // namespace knapweedstile::jobs
