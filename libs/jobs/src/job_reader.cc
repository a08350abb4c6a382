#include "jobs/job_reader.h"

#include <algorithm>
#include <utility>

#include "jobs/item_line.h"
#include "jobs/open_job.h"
#include "jobs/result_line.h"
#include "jobs/result_segment.h"
#include "jobs/shard_head.h"
#include "jobs/store_names.h"

namespace knapweedstile::jobs {

using platform::StoreAnswer;
using platform::StoreOutcome;

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(3);
// A page ends after the segment that passes this.
constexpr size_t kMaxPageBytes = 4 << 20;

const InputSegmentRef* SegmentOf(const JobRecord& record, uint32_t index) {
  for (const InputSegmentRef& ref : record.inputs) {
    if (index >= ref.first && index - ref.first < ref.count) return &ref;
  }
  return nullptr;
}

}  // namespace

JobReader::JobReader(const JobReadRequest& request, uint64_t seed)
    : request_(request), backoff_(seed) {}

void JobReader::Tick(TimePoint now) {
  if (finished()) return;
  if (now >= request_.deadline) return Finish(JobReadOutcome::kUnavailable);
  if (token_ == 0 && now >= retry_at_) Read(kind_, name_, now);
}

TimePoint JobReader::next_wakeup() const {
  return finished() ? kNever : std::min(retry_at_, request_.deadline);
}

void JobReader::OnAnswer(const StoreAnswer& answer, TimePoint now) {
  if (finished() || answer.token != token_) return;
  token_ = 0;
  const bool settled = answer.outcome == StoreOutcome::kOk ||
                       answer.outcome == StoreOutcome::kNotFound;
  if (!settled) {
    retry_at_ = backoff_.Next(now, answer.retry_after);
    return;
  }
  switch (step_) {
    case Step::kJob:
    case Step::kJobAgain:
      return OnJob(answer, now);
    case Step::kHead:
      return OnHead(answer, now);
    case Step::kResults:
      return OnResults(answer, now);
    case Step::kCancelledItems:
      return OnInput(answer, now);
  }
}

void JobReader::ReadJob(TimePoint now) {
  Read(kJobKind, JobName(request_.id), now);
}

void JobReader::Read(std::string_view kind, std::string name, TimePoint now) {
  kind_ = std::string(kind);
  name_ = std::move(name);
  retry_at_ = kNever;
  token_ = calls_.Add(platform::ReadRequest{kind_, name_}, now + kCallTimeout);
}

void JobReader::OnJob(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome == StoreOutcome::kNotFound) {
    return Finish(JobReadOutcome::kNotFound);
  }
  auto record = DecodeJobRecord(answer.objects.front().value);
  if (!record) return Finish(JobReadOutcome::kNotFound);
  record_ = std::move(*record);
  if (IsFinal(record_.state)) return ProgressKnown(record_.progress, now);
  if (step_ == Step::kJobAgain) {
    // Not taken in by its owner yet.
    JobProgress none;
    none.done = ItemSet(record_.total);
    return ProgressKnown(std::move(none), now);
  }
  step_ = Step::kHead;
  Read(kShardKind, ShardName(request_.id.shard), now);
}

void JobReader::OnHead(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome == StoreOutcome::kOk) {
    const auto head = DecodeShardHead(answer.objects.front().value);
    if (head) {
      const auto job = head->jobs.find(request_.id.hash);
      if (job != head->jobs.end()) return ProgressKnown(job->second, now);
    }
  }
  step_ = Step::kJobAgain;
  ReadJob(now);
}

void JobReader::ProgressKnown(JobProgress progress, TimePoint now) {
  progress_ = std::move(progress);
  FillStatus();
  if (request_.limit == 0) return Finish(JobReadOutcome::kOk);
  PlanResults();
  NextResults(now);
}

void JobReader::FillStatus() {
  JobStatus& status = page_.status;
  status.id = request_.id;
  status.workspace = record_.workspace;
  status.state = record_.state;
  status.total = record_.total;
  status.completed = progress_.completed();
  status.failed = progress_.failed;
  if (record_.state == JobState::kCancelled) {
    status.cancelled = record_.total - progress_.done.size();
  }
  status.created_ms = record_.created_ms;
  status.due_ms = record_.due_ms;
}

void JobReader::PlanResults() {
  uint64_t begin = 0;
  const uint64_t end = request_.after + request_.limit;
  for (const ResultSegmentRef& ref : progress_.results) {
    const uint64_t from = std::max(begin, request_.after);
    const uint64_t to = std::min(begin + ref.count, end);
    if (from < to) {
      slices_.push_back({ResultName(request_.id.shard, ref.fence, ref.sequence),
                         static_cast<uint32_t>(from - begin),
                         static_cast<uint32_t>(to - from)});
    }
    begin += ref.count;
  }
}

void JobReader::NextResults(TimePoint now) {
  if (!slices_.empty() && bytes_ < kMaxPageBytes) {
    step_ = Step::kResults;
    return Read(kResultKind, slices_.front().name, now);
  }
  if (slices_.empty() && record_.state == JobState::kCancelled) {
    PlanCancelledItems();
  }
  NextCancelledItems(now);
}

void JobReader::OnResults(const StoreAnswer& answer, TimePoint now) {
  // The head names only segments that were stored before it.
  if (answer.outcome != StoreOutcome::kOk) {
    return Finish(JobReadOutcome::kUnavailable);
  }
  const ResultSlice slice = std::move(slices_.front());
  slices_.pop_front();
  const std::string& value = answer.objects.front().value;
  const auto lines = LinesOfJob(value, request_.id.hash);
  for (uint32_t i = 0; i < slice.take && slice.skip + i < lines.size(); ++i) {
    const std::string_view line = lines[slice.skip + i];
    bytes_ += line.size();
    page_.lines.emplace_back(line);
  }
  NextResults(now);
}

// The items that were never done follow the results, in order of index.
void JobReader::PlanCancelledItems() {
  const uint64_t at = request_.after + page_.lines.size();
  uint64_t skip = at - std::min(at, CommittedLines());
  const uint64_t room = request_.limit - page_.lines.size();
  uint32_t index = progress_.done.FirstAbsent(0);
  while (index < record_.total && cancelled_.size() < room) {
    if (skip == 0) {
      cancelled_.push_back(index);
    } else {
      --skip;
    }
    index = progress_.done.FirstAbsent(index + 1);
  }
}

void JobReader::NextCancelledItems(TimePoint now) {
  const InputSegmentRef* segment = cancelled_.empty() || bytes_ >= kMaxPageBytes
                                       ? nullptr
                                       : SegmentOf(record_, cancelled_.front());
  if (segment == nullptr) return Finish(JobReadOutcome::kOk);
  step_ = Step::kCancelledItems;
  Read(kInputKind, InputName(request_.id, record_.body_hash, *segment), now);
}

void JobReader::OnInput(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome != StoreOutcome::kOk) {
    return Finish(JobReadOutcome::kUnavailable);
  }
  const InputSegmentRef segment = *SegmentOf(record_, cancelled_.front());
  OpenJob input(JobProgress{});
  input.HoldSegment(segment, answer.objects.front().value);
  while (!cancelled_.empty() &&
         cancelled_.front() - segment.first < segment.count) {
    const uint32_t index = cancelled_.front();
    cancelled_.pop_front();
    const ItemLine line = DecodeItemLine(input.LineOf(index));
    page_.lines.push_back(CancelledLine(index, line.custom_id));
    bytes_ += page_.lines.back().size();
  }
  NextCancelledItems(now);
}

uint64_t JobReader::CommittedLines() const {
  uint64_t count = 0;
  for (const ResultSegmentRef& ref : progress_.results) count += ref.count;
  return count;
}

uint64_t JobReader::LinesLeft() const {
  const uint64_t all =
      CommittedLines() + (record_.state == JobState::kCancelled
                              ? record_.total - progress_.done.size()
                              : 0);
  const uint64_t read = request_.after + page_.lines.size();
  return all > read ? all - read : 0;
}

void JobReader::Finish(JobReadOutcome outcome) {
  page_.outcome = outcome;
  if (outcome == JobReadOutcome::kOk &&
      (!IsFinal(record_.state) || LinesLeft() > 0)) {
    page_.next_after = request_.after + page_.lines.size();
  }
  result_ = std::move(page_);
}

}  // namespace knapweedstile::jobs
