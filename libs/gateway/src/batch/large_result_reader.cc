#include "batch/large_result_reader.h"

#include <utility>
#include <vector>

#include "base/log.h"
#include "batch/job_records.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;

constexpr size_t kMaxReads = 2;
// Outputs in memory, beside the latest one.
constexpr size_t kMaxKeptBytes = 16 << 20;

}  // namespace

LargeResultReader::LargeResultReader(serving::JobTable& jobs,
                                     ReadPart read_part)
    : jobs_(jobs), read_part_(std::move(read_part)) {}

void LargeResultReader::Complete(StoreAnswer&& answer, Callback done) {
  if (answer.outcome != StoreOutcome::kOk || answer.objects.empty()) {
    return done(answer);
  }
  const platform::StoredObject& object = answer.objects.front();
  const RecordName name = ParseRecordName(object.name);
  auto result = name.type == RecordType::kSegment
                    ? DecodeLargeResult(object.value)
                    : std::nullopt;
  if (!result || jobs_.HasFullSegment(name.id, name.segment)) {
    return done(answer);
  }
  if (reads_.size() >= kMaxReads) {
    answer.outcome = StoreOutcome::kThrottled;
    return done(answer);
  }
  const uint64_t id = ++last_read_;
  reads_[id] = {.answer = std::move(answer),
                .done = std::move(done),
                .result = std::move(*result),
                .job = name.id,
                .segment = name.segment};
  ReadNext(id);
}

void LargeResultReader::ReadNext(uint64_t id) {
  const Read& read = reads_.at(id);
  read_part_(PartName(read.job, read.result.output.hash, read.next_part),
             [this, id](StoreAnswer&& answer) { OnPart(id, answer); });
}

void LargeResultReader::OnPart(uint64_t id, const StoreAnswer& answer) {
  Read& read = reads_.at(id);
  const std::string part =
      PartName(read.job, read.result.output.hash, read.next_part);
  if (answer.outcome != StoreOutcome::kOk || answer.objects.empty()) {
    return Fail(id, part, NameOf(answer.outcome));
  }
  const auto bytes = DecodePart(answer.objects.front().value);
  if (!bytes) return Fail(id, part, "not a part");
  read.output += *bytes;
  if (read.output.size() > read.result.output.bytes) {
    return Fail(id, part, "more bytes than the result has");
  }
  if (++read.next_part < read.result.output.parts) return ReadNext(id);
  if (!Matches(read.result, read.output)) {
    return Fail(id, part, "the parts are not those of the result");
  }
  Finish(std::move(reads_.extract(id).mapped()));
}

void LargeResultReader::Finish(Read&& read) {
  const serving::BatchJob* job = jobs_.Find(read.job);
  if (job && job->InParts(read.segment)) {
    Kept kept{.job = read.job,
              .segment = read.segment,
              .position = job->outline_segments.at(read.segment).first,
              .bytes = read.output.size()};
    std::vector<serving::ItemResult> results{
        {.item = std::move(read.result.item),
         .state = read.result.state,
         .output = std::move(read.output),
         .in_parts = true}};
    jobs_.AddSegment(read.job, read.segment, std::move(results));
    Keep(std::move(kept));
  }
  read.done(read.answer);
}

void LargeResultReader::Fail(uint64_t id, const std::string& part,
                             std::string_view reason) {
  LogError("large_result_unreadable", {{"part", part}, {"reason", reason}});
  Read read = std::move(reads_.extract(id).mapped());
  read.answer.outcome = StoreOutcome::kUnknown;
  read.done(read.answer);
}

void LargeResultReader::Keep(Kept&& kept) {
  kept_bytes_ += kept.bytes;
  kept_.push_back(std::move(kept));
  while (kept_.size() > 1 && kept_bytes_ > kMaxKeptBytes) {
    const Kept& oldest = kept_.front();
    jobs_.DropOutput(oldest.job, oldest.segment, oldest.position);
    kept_bytes_ -= oldest.bytes;
    kept_.pop_front();
  }
}

}  // namespace knapweedstile::gateway
