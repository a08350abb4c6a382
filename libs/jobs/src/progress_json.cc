#include "progress_json.h"

#include "json_fields.h"

namespace knapweedstile::jobs {

namespace json = boost::json;

namespace {

constexpr uint64_t kMostStoredItems = 10'000'000;

// Fence, then pairs of sequence difference and count; a new fence begins a new
// list.
json::array ResultsToJson(const std::vector<ResultSegmentRef>& results) {
  json::array groups;
  uint64_t fence = 0;
  uint64_t sequence = 0;
  for (const ResultSegmentRef& ref : results) {
    if (groups.empty() || ref.fence != fence) {
      groups.emplace_back(json::array{ref.fence});
      fence = ref.fence;
      sequence = 0;
    }
    json::array& group = groups.back().get_array();
    group.emplace_back(ref.sequence - sequence);
    group.emplace_back(ref.count);
    sequence = ref.sequence;
  }
  return groups;
}

void ReadGroup(const json::array& group,
               std::vector<ResultSegmentRef>& results) {
  if (group.empty()) return;
  const uint64_t fence = UintOf(group[0]);
  uint64_t sequence = 0;
  for (size_t i = 1; i + 1 < group.size(); i += 2) {
    sequence += UintOf(group[i]);
    results.push_back(
        {fence, sequence, static_cast<uint32_t>(UintOf(group[i + 1]))});
  }
}

std::vector<ResultSegmentRef> ResultsFromJson(const json::object& object) {
  std::vector<ResultSegmentRef> results;
  const json::value* field = object.if_contains("results");
  if (field == nullptr || !field->is_array()) return results;
  for (const json::value& group : field->get_array()) {
    if (group.is_array()) ReadGroup(group.get_array(), results);
  }
  return results;
}

}  // namespace

json::object ToJson(const JobProgress& progress) {
  json::array done;
  for (const auto& [first, last] : progress.done.Ranges()) {
    done.emplace_back(first);
    done.emplace_back(last - first);
  }
  json::array attempts;
  for (const auto& [index, count] : progress.attempts) {
    attempts.emplace_back(index);
    attempts.emplace_back(count);
  }
  json::object object;
  object["total"] = progress.done.capacity();
  object["done"] = std::move(done);
  object["failed"] = progress.failed;
  object["results"] = ResultsToJson(progress.results);
  if (!attempts.empty()) object["attempts"] = std::move(attempts);
  if (progress.closed) object["closed"] = true;
  return object;
}

std::optional<JobProgress> ProgressFromJson(const json::object& object) {
  if (UintAt(object, "total") > kMostStoredItems) return std::nullopt;
  JobProgress progress;
  progress.done = ItemSet(static_cast<uint32_t>(UintAt(object, "total")));
  const std::vector<uint64_t> done = UintsAt(object, "done");
  for (size_t i = 0; i + 1 < done.size(); i += 2) {
    const auto first = static_cast<uint32_t>(done[i]);
    progress.done.InsertRange(
        {first, first + static_cast<uint32_t>(done[i + 1])});
  }
  const std::vector<uint64_t> attempts = UintsAt(object, "attempts");
  for (size_t i = 0; i + 1 < attempts.size(); i += 2) {
    progress.attempts[static_cast<uint32_t>(attempts[i])] =
        static_cast<uint32_t>(attempts[i + 1]);
  }
  progress.failed = static_cast<uint32_t>(UintAt(object, "failed"));
  progress.results = ResultsFromJson(object);
  progress.closed = BoolAt(object, "closed");
  return progress;
}

}  // namespace knapweedstile::jobs
