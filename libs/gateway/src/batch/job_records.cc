#include "batch/job_records.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/large_result.h"
#include "users_platform/batch_calls.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;
using serving::ItemResult;
using serving::ItemState;

// Limits the apparent age of a job, in completion objectives, in case a wall
// clock has jumped.
constexpr int64_t kMaxAgeInObjectives = 3;

constexpr std::string_view kJobPrefix = "job.";
constexpr std::string_view kSegmentPrefix = "segment.";
constexpr std::string_view kEndPrefix = "end.";
constexpr std::string_view kMarkerPrefix = "large.";
constexpr std::string_view kPartPrefix = "part.";

uint32_t NumberIn(std::string_view text) {
  uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Parses the rest of "large.ID.HASH.COUNT" or "part.ID.HASH.N". Ids may have
// dots.
RecordName ParsePartName(RecordType type, std::string_view rest) {
  const size_t number = rest.rfind('.');
  if (number == std::string_view::npos || number == 0) return {};
  const size_t hash = rest.rfind('.', number - 1);
  if (hash == std::string_view::npos) return {};
  return {.type = type,
          .id = std::string(rest.substr(0, hash)),
          .hash = std::string(rest.substr(hash + 1, number - hash - 1)),
          .parts = type == RecordType::kMarker
                       ? NumberIn(rest.substr(number + 1))
                       : 0};
}

std::string Text(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  if (!field || !field->is_string()) return {};
  return std::string(field->get_string());
}

int64_t Number(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  return field && field->is_int64() ? field->get_int64() : 0;
}

std::optional<json::object> ParseObject(std::string_view text) {
  json::error_code ec;
  json::value parsed = json::parse({text.data(), text.size()}, ec);
  if (ec || !parsed.is_object()) return std::nullopt;
  return std::move(parsed.get_object());
}

// Limit for stored records. They were checked against the caller's limit when
// they were accepted.
constexpr size_t kMaxItems = 10000;

}  // namespace

RecordName ParseRecordName(std::string_view name) {
  const auto rest = [name](std::string_view prefix) {
    return std::string(name.substr(prefix.size()));
  };
  if (name.starts_with(kJobPrefix)) return {RecordType::kJob, rest(kJobPrefix)};
  if (name.starts_with(kEndPrefix)) return {RecordType::kEnd, rest(kEndPrefix)};
  if (name.starts_with(kMarkerPrefix)) {
    return ParsePartName(RecordType::kMarker, rest(kMarkerPrefix));
  }
  if (name.starts_with(kPartPrefix)) {
    return ParsePartName(RecordType::kPart, rest(kPartPrefix));
  }
  const size_t dot = name.rfind('.');
  if (!name.starts_with(kSegmentPrefix) || dot < kSegmentPrefix.size()) {
    return {};
  }
  RecordName record{RecordType::kSegment};
  record.id = name.substr(kSegmentPrefix.size(), dot - kSegmentPrefix.size());
  std::from_chars(name.data() + dot + 1, name.data() + name.size(),
                  record.segment);
  return record;
}

std::string JobKey(std::string_view workspace, std::string_view id) {
  if (workspace.empty()) return std::string(id);
  return fmt::format("{}-{}", ToHex(Hash64(workspace)), id);
}

std::string JobName(std::string_view job) {
  return fmt::format("{}{}", kJobPrefix, job);
}

std::string SegmentName(std::string_view job, uint32_t number) {
  return fmt::format("{}{}.{:06}", kSegmentPrefix, job, number);
}

std::string EndName(std::string_view job) {
  return fmt::format("{}{}", kEndPrefix, job);
}

std::string MarkerName(std::string_view job, std::string_view hash,
                       uint32_t parts) {
  return fmt::format("{}{}.{}.{}", kMarkerPrefix, job, hash, parts);
}

std::string PartName(std::string_view job, std::string_view hash,
                     uint32_t number) {
  return fmt::format("{}{}.{}.{:06}", kPartPrefix, job, hash, number);
}

JobRecord NewJobRecord(std::string_view creator, std::string_view host,
                       const serving::Route& route, std::string_view workspace,
                       std::string&& submission) {
  constexpr int64_t kNanosPerMilli = 1000000;
  return {.creator = std::string(creator),
          .host = std::string(host),
          .route = route.name,
          .workspace = std::string(workspace),
          .accepted_wall_millis = WallClockNanos() / kNanosPerMilli,
          .completion_millis = route.completion_objective.count(),
          .ttl_millis = route.item_ttl.count(),
          .submission = std::move(submission)};
}

std::string EncodeJob(const JobRecord& record) {
  json::object object = {{"creator", record.creator},
                         {"host", record.host},
                         {"route", record.route},
                         {"workspace", record.workspace},
                         {"configuration", record.configuration},
                         {"accepted_ms", record.accepted_wall_millis},
                         {"completion_ms", record.completion_millis},
                         {"ttl_ms", record.ttl_millis},
                         {"submission", record.submission}};
  if (!record.second.empty()) object["second"] = record.second;
  return json::serialize(object);
}

Result<serving::BatchJob> DecodeJob(std::string_view id, std::string_view value,
                                    TimePoint now, int64_t wall_millis) {
  const auto object = ParseObject(value);
  if (!object) return Fail(ErrorCode::kInvalid, "job is not a JSON object");
  BOOST_LEAF_AUTO(items, users_platform::ParseSubmission(
                             Text(*object, "submission"), kMaxItems));
  // Accepted by a gateway of an earlier version: a job that is owed.
  if (const auto* repeated = serving::FindRepeated(items))
    LogWarning("job_item_repeated", {{"job", id}, {"item", repeated->id}});
  serving::BatchJob job;
  job.id = id;
  job.creator = Text(*object, "creator");
  job.second_holder = Text(*object, "second");
  job.host = Text(*object, "host");
  job.route = Text(*object, "route");
  job.workspace = Text(*object, "workspace");
  job.configuration = static_cast<uint64_t>(
      std::max<int64_t>(0, Number(*object, "configuration")));
  job.items = std::move(items);
  job.received_at = now;
  const int64_t completion = Number(*object, "completion_ms");
  const int64_t age =
      std::clamp<int64_t>(wall_millis - Number(*object, "accepted_ms"), 0,
                          kMaxAgeInObjectives * completion);
  job.due_at = now + std::chrono::milliseconds(completion - age);
  job.expires_at = now + std::chrono::milliseconds(Number(*object, "ttl_ms"));
  return job;
}

std::string EncodeSegment(const std::vector<ItemResult>& results) {
  json::array list;
  for (const ItemResult& result : results) {
    list.push_back(json::object{{"item", result.item},
                                {"state", NameOf(result.state)},
                                {"output", result.output}});
  }
  return json::serialize(json::object{{"results", std::move(list)}});
}

Result<std::vector<ItemResult>> DecodeSegment(std::string_view value) {
  if (const auto large = DecodeLargeResult(value)) {
    return std::vector<ItemResult>{{.item = large->item,
                                    .state = large->state,
                                    .has_output = false,
                                    .in_parts = true}};
  }
  const auto object = ParseObject(value);
  const json::value* field = object ? object->if_contains("results") : nullptr;
  if (!field || !field->is_array()) {
    return Fail(ErrorCode::kInvalid, "the segment has no \"results\" array");
  }
  std::vector<ItemResult> results;
  for (const json::value& element : field->get_array()) {
    if (!element.is_object()) continue;
    const json::object& result = element.get_object();
    const auto state = ParseEnum<ItemState>(Text(result, "state"));
    if (!state) return Fail(ErrorCode::kInvalid, "a result has no valid state");
    results.push_back({Text(result, "item"), *state, Text(result, "output")});
  }
  return results;
}

std::optional<std::string> OutlineOfJob(std::string_view value) {
  auto object = ParseObject(value);
  if (!object) return std::nullopt;
  auto items = boost::leaf::try_handle_all(
      [&] {
        return users_platform::ParseSubmission(Text(*object, "submission"),
                                               kMaxItems);
      },
      [] { return std::vector<serving::BatchItem>(); });
  if (items.empty()) return std::nullopt;
  for (serving::BatchItem& item : items) {
    item.headers = {};
    item.body.clear();
  }
  (*object)["submission"] = users_platform::RenderSubmission(items);
  return json::serialize(*object);
}

std::optional<std::string> OutlineOfSegment(std::string_view value) {
  if (DecodeLargeResult(value)) return std::string(value);
  auto results =
      boost::leaf::try_handle_all([&] { return DecodeSegment(value); },
                                  [] { return std::vector<ItemResult>(); });
  if (results.empty()) return std::nullopt;
  for (ItemResult& result : results) result.output.clear();
  return EncodeSegment(results);
}

void MarkOutline(serving::BatchJob& job) { job.has_bodies = false; }

void MarkOutline(std::vector<ItemResult>& results) {
  for (ItemResult& result : results) {
    // A failed item has no output.
    result.has_output = result.state == ItemState::kFailed;
  }
}

}  // namespace knapweedstile::gateway
