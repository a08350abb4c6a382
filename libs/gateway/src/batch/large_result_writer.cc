#include "batch/large_result_writer.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "batch/large_result_index.h"
#include "batch/record_kinds.h"
#include "platform/store_request.h"
#include "serving/job_table.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreOutcome;

constexpr std::chrono::milliseconds kRetryPause{250};
// A part takes a third of a second on the link of a small VM.
constexpr std::chrono::milliseconds kWriteTimeout{5000};
// After the store has rejected even the smallest parts.
constexpr std::chrono::seconds kRejectedPause{60};
constexpr size_t kMinPartBytes = 16 << 10;

LargeResult Divide(const std::string& item, serving::ItemState state,
                   std::string_view output, size_t part_bytes) {
  return {.item = item,
          .state = state,
          .output = DivideOutput(output, part_bytes),
          .part_bytes = part_bytes};
}

std::string MarkerOf(const std::string& job, const StoredOutput& output) {
  return MarkerName(job, output.hash, output.parts);
}

// The output of a finished item that is not committed.
const std::string* FinishedOutput(const serving::JobTable& jobs,
                                  const std::string& job,
                                  const std::string& item) {
  const serving::BatchJob* known = jobs.Find(job);
  if (!known || known->ended) return nullptr;
  const auto index = known->item_index.find(item);
  if (index == known->item_index.end()) return nullptr;
  const serving::ItemProgress& progress = known->progress[index->second];
  return progress.phase == serving::ItemPhase::kFinished ? &progress.output
                                                         : nullptr;
}

}  // namespace

LargeResultWriter::LargeResultWriter(StoreCalls& store,
                                     const RecordKinds& kinds,
                                     const serving::JobTable& jobs,
                                     LargeResultIndex& index,
                                     observe::Metrics& metrics)
    : store_(store),
      kinds_(kinds),
      jobs_(jobs),
      index_(index),
      metrics_(metrics) {}

void LargeResultWriter::Begin(const std::string& job,
                              const serving::ItemResult& result) {
  const auto [output, is_new] = outputs_.try_emplace({job, result.item});
  if (!is_new) return;
  output->second.result =
      Divide(result.item, result.state, result.output, kMaxPartBytes);
  LogInfo("large_result", {{"job", job},
                           {"item", result.item},
                           {"bytes", result.output.size()},
                           {"parts", output->second.result.output.parts}});
}

void LargeResultWriter::Run(TimePoint now) {
  std::erase_if(outputs_, [this](const auto& entry) {
    return !FinishedOutput(jobs_, entry.first.job, entry.first.item);
  });
  std::erase_if(rejected_jobs_,
                [this](const auto& job) { return !jobs_.Find(job); });
  if (in_flight_) return;
  for (auto& [key, output] : outputs_) {
    const bool complete = output.next_part == output.result.output.parts;
    if (complete || output.write_at > now) continue;
    return WriteNext(key, output, *FinishedOutput(jobs_, key.job, key.item));
  }
}

std::set<std::string> LargeResultWriter::ItemsOf(const std::string& job) const {
  std::set<std::string> items;
  for (auto at = outputs_.lower_bound({job, ""});
       at != outputs_.end() && at->first.job == job; ++at) {
    items.insert(at->first.item);
  }
  return items;
}

std::optional<LargeResult> LargeResultWriter::NextComplete(
    const std::string& job) const {
  for (auto at = outputs_.lower_bound({job, ""});
       at != outputs_.end() && at->first.job == job; ++at) {
    const Output& output = at->second;
    const bool complete = output.next_part == output.result.output.parts;
    // The item may have been committed by another gateway since.
    if (complete && FinishedOutput(jobs_, job, at->first.item)) {
      return output.result;
    }
  }
  return std::nullopt;
}

void LargeResultWriter::WriteNext(const Key& key, Output& output,
                                  std::string_view text) {
  in_flight_ = true;
  const StoredOutput& stored = output.result.output;
  platform::WriteRequest request;
  if (!output.has_marker) {
    request = {.kind = kinds_.KindOfJob(key.job),
               .name = MarkerOf(key.job, stored),
               .value = "{}"};
  } else {
    const size_t size = output.result.part_bytes;
    request = {.kind = kPartKind,
               .name = PartName(key.job, stored.hash, output.next_part),
               .value = EncodePart(text.substr(output.next_part * size, size))};
  }
  const std::string record = request.name;
  const size_t bytes = request.value.size();
  store_.CallDirectOrRelayed(
      std::move(request), MonotonicNow() + kWriteTimeout,
      [this, key, record, bytes](platform::StoreAnswer&& answer) {
        OnWritten(key, record, bytes, answer);
      });
}

// A record that exists is this one: its name has a hash of its content. After
// an unknown outcome it is created again.
void LargeResultWriter::OnWritten(const Key& key, const std::string& record,
                                  size_t bytes,
                                  const platform::StoreAnswer& answer) {
  in_flight_ = false;
  const auto found = outputs_.find(key);
  if (found == outputs_.end()) return;
  Output& output = found->second;
  switch (answer.outcome) {
    case StoreOutcome::kOk:
    case StoreOutcome::kConflict:
      if (output.has_marker) {
        ++output.next_part;
      } else {
        output.has_marker = true;
        index_.Add(key.job, record);
      }
      return;
    case StoreOutcome::kRejected:
      OnRejected(key.job, record, bytes, answer.message);
      return WriteSmallerParts(key, output);
    default:
      output.write_at = MonotonicNow() + kRetryPause;
  }
}

void LargeResultWriter::WriteSmallerParts(const Key& key, Output& output) {
  const std::string* text = FinishedOutput(jobs_, key.job, key.item);
  const size_t smaller = output.result.part_bytes / 2;
  if (!text || !output.has_marker || smaller < kMinPartBytes) {
    output.write_at = MonotonicNow() + kRejectedPause;
    return;
  }
  output = {.result = Divide(key.item, output.result.state, *text, smaller)};
}

void LargeResultWriter::OnRejected(const std::string& job,
                                   const std::string& record, size_t bytes,
                                   const std::string& reason) {
  metrics_.Add("knap_result_writes_rejected_total",
               {record.starts_with("part.") ? "part" : "segment"});
  if (!rejected_jobs_.insert(job).second) return;
  LogError(
      "result_write_rejected",
      {{"job", job}, {"record", record}, {"bytes", bytes}, {"reason", reason}});
}

}  // namespace knapweedstile::gateway
