#include "jobs/open_job.h"

#include <algorithm>
#include <utility>

namespace knapweedstile::jobs {

namespace {

constexpr int64_t kUrgencyStepMs = 60'000;

}  // namespace

OpenJob::OpenJob(JobProgress committed)
    : progress(std::move(committed)), taken_(progress.done) {}

void OpenJob::SetRecord(JobRecord record, uint64_t version) {
  record_ = std::move(record);
  version_ = version;
  if (progress.done.capacity() == record_.total) return;
  progress.done = ItemSet(record_.total);
  taken_ = progress.done;
}

void OpenJob::SetState(JobState state, uint64_t version) {
  record_.state = state;
  version_ = version;
}

const ItemLine& OpenJob::NextLine() {
  if (!next_line_) next_line_ = DecodeItemLine(LineOf(NextIndex()));
  return *next_line_;
}

uint32_t OpenJob::TakeNext() {
  const uint32_t index = NextIndex();
  next_line_.reset();
  taken_.Insert(index);
  cursor_ = index + 1;
  return index;
}

void OpenJob::HoldSegment(const InputSegmentRef& ref, std::string value) {
  held_ = ref;
  segment_ = std::move(value);
  next_line_.reset();
  line_begins_.clear();
  uint32_t begin = 0;
  for (uint32_t i = 0; i < ref.count && begin < segment_.size(); ++i) {
    line_begins_.push_back(begin);
    const size_t end = segment_.find('\n', begin);
    begin = static_cast<uint32_t>(std::min(end, segment_.size() - 1) + 1);
  }
}

void OpenJob::DropSegment() {
  held_ = {};
  segment_ = {};
  line_begins_ = {};
  next_line_.reset();
}

int64_t OpenJob::urgency() const noexcept {
  if (record_.due_ms == 0) return std::numeric_limits<int64_t>::max();
  return record_.due_ms / kUrgencyStepMs;
}

bool OpenJob::ready() const noexcept {
  return !progress.closed && !cancelling() && Holds(NextIndex());
}

std::optional<InputSegmentRef> OpenJob::WantedSegment() const {
  const uint32_t index = NextIndex();
  if (index >= record_.total || Holds(index)) return std::nullopt;
  const auto after =
      std::upper_bound(record_.inputs.begin(), record_.inputs.end(), index,
                       [](uint32_t value, const InputSegmentRef& ref) {
                         return value < ref.first;
                       });
  if (after == record_.inputs.begin()) return std::nullopt;
  return *std::prev(after);
}

std::string_view OpenJob::LineOf(uint32_t index) const {
  const uint32_t line = index - held_.first;
  if (!Holds(index) || line >= line_begins_.size()) return {};
  const size_t begin = line_begins_[line];
  const size_t end = std::min(segment_.find('\n', begin), segment_.size());
  return {segment_.data() + begin, end - begin};
}

bool OpenJob::Holds(uint32_t index) const noexcept {
  return index >= held_.first && index < held_.first + held_.count;
}

uint32_t OpenJob::NextIndex() const noexcept {
  return taken_.FirstAbsent(cursor_);
}

}  // namespace knapweedstile::jobs
