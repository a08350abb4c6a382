#include "jobs/job_submission.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "jobs/item_line.h"
#include "jobs/store_names.h"

namespace knapweedstile::jobs {

using platform::StoreAnswer;
using platform::StoreOutcome;

namespace {

// Each is a fraction of a millisecond's work.
constexpr uint32_t kLinesPerTurn = 256;
constexpr size_t kScanBytesPerTurn = 1 << 20;

bool IsBlank(std::string_view line) {
  return line.find_first_not_of(" \t\r") == std::string_view::npos;
}

// The line that begins at `offset`; moves it past the line's end.
std::string_view LineAt(const std::string& body, size_t& offset) {
  const size_t end = std::min(body.find('\n', offset), body.size());
  const std::string_view line(body.data() + offset, end - offset);
  offset = std::min(end + 1, body.size());
  return line;
}

}  // namespace

JobSubmission::JobSubmission(const SubmissionSettings& settings,
                             SubmitRequest request, uint64_t seed)
    : settings_(settings),
      request_(std::move(request)),
      id_(MakeJobId(request_.workspace, request_.key, settings.shard_count)),
      backoff_(seed) {}

void JobSubmission::Start(TimePoint now) { Scan(now); }

// Counts the items and hashes the body, a block at a time. Where blocks end
// follows from the body alone, so equal bodies have equal hashes.
void JobSubmission::Scan(TimePoint now) {
  const size_t begin = scanned_to_;
  while (scanned_to_ < request_.body.size() &&
         scanned_to_ - begin < kScanBytesPerTurn) {
    if (!IsBlank(LineAt(request_.body, scanned_to_))) ++items_;
  }
  const std::string_view block(request_.body.data() + begin,
                               scanned_to_ - begin);
  block_hashes_ += WideHash(block);
  if (scanned_to_ == request_.body.size()) OnScanned(now);
}

void JobSubmission::OnScanned(TimePoint now) {
  if (items_ == 0)
    return Finish(SubmitOutcome::kInvalid, "the job has no item");
  if (items_ > settings_.max_items) {
    return Finish(SubmitOutcome::kInvalid,
                  "the job has " + std::to_string(items_) + " items; at most " +
                      std::to_string(settings_.max_items) + " are allowed");
  }
  record_.workspace = request_.workspace;
  record_.key = request_.key;
  record_.body_hash = WideHash(block_hashes_);
  record_.total = static_cast<uint32_t>(items_);
  record_.created_ms = request_.created_ms;
  record_.due_ms = request_.due_ms;
  step_ = Step::kLookUp;
  SendRead(now);
}

void JobSubmission::Tick(TimePoint now) {
  if (finished()) return;
  if (now >= request_.deadline) {
    return Finish(in_doubt_ || (step_ == Step::kWriteJob && token_ != 0)
                      ? SubmitOutcome::kUnknown
                      : SubmitOutcome::kUnavailable,
                  "the platform's store did not answer in time");
  }
  if (step_ == Step::kScan) return Scan(now);
  if (step_ == Step::kWriteInputs) return FillWindow(now);
  if (now < retry_at_) return;
  retry_at_ = kNever;
  if (step_ == Step::kWriteJob) return SendJob(now);
  SendRead(now);
}

TimePoint JobSubmission::next_wakeup() const {
  if (finished()) return kNever;
  const bool more_to_pack = step_ == Step::kWriteInputs && !AllPacked() &&
                            window_.size() < settings_.parallel_writes;
  if (more_to_pack || step_ == Step::kScan) return TimePoint{};
  TimePoint wakeup = std::min(retry_at_, request_.deadline);
  for (const SegmentWrite& segment : window_) {
    if (segment.token == 0) wakeup = std::min(wakeup, segment.send_at);
  }
  return wakeup;
}

void JobSubmission::OnAnswer(const StoreAnswer& answer, TimePoint now) {
  if (finished()) return;
  if (step_ == Step::kWriteInputs) return OnSegmentAnswer(answer, now);
  if (answer.token != token_) return;
  token_ = 0;
  if (step_ == Step::kLookUp) return OnLookUpAnswer(answer, now);
  if (step_ == Step::kWriteJob) return OnJobAnswer(answer, now);
  OnReadBackAnswer(answer, now);
}

void JobSubmission::SendRead(TimePoint now) {
  token_ =
      calls_.Add(platform::ReadRequest{std::string(kJobKind), JobName(id_)},
                 now + settings_.call_timeout);
}

void JobSubmission::SendJob(TimePoint now) {
  own_write_ = true;
  token_ = calls_.Add(platform::WriteRequest{std::string(kJobKind),
                                             JobName(id_), 0, Encode(record_)},
                      now + settings_.call_timeout);
}

void JobSubmission::OnLookUpAnswer(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome == StoreOutcome::kOk) {
    return FinishWithExisting(answer.objects.front());
  }
  if (answer.outcome != StoreOutcome::kNotFound) {
    return RetryAt(backoff_.Next(now, answer.retry_after));
  }
  backoff_.Reset();
  step_ = Step::kWriteInputs;
  FillWindow(now);
}

// Keeps a few segment writes in flight; the body is parsed only as far as they
// reach, and a part of it at a time.
void JobSubmission::FillWindow(TimePoint now) {
  if (window_.size() < settings_.parallel_writes) PackSome();
  for (SegmentWrite& segment : window_) {
    if (segment.token == 0 && now >= segment.send_at) SendSegment(segment, now);
  }
  if (!window_.empty() || !AllPacked()) return;
  step_ = Step::kWriteJob;
  SendJob(now);
}

void JobSubmission::PackSome() {
  const size_t open_before = window_.size();
  for (uint32_t i = 0; i < kLinesPerTurn && !AllPacked(); ++i) {
    if (packed_to_ == request_.body.size()) return CloseSegment();
    const std::string_view raw = LineAt(request_.body, packed_to_);
    if (!IsBlank(raw)) PackLine(raw);
    if (window_.size() > open_before) return;
  }
}

void JobSubmission::PackLine(std::string_view raw) {
  const std::string line = CanonicalLine(raw);
  const bool full =
      building_.ref.count > 0 &&
      building_.value.size() + line.size() >= settings_.segment_bytes;
  if (full) CloseSegment();
  building_.value += line;
  building_.value += '\n';
  ++building_.ref.count;
}

void JobSubmission::CloseSegment() {
  const uint32_t next = building_.ref.first + building_.ref.count;
  record_.inputs.push_back(building_.ref);
  window_.push_back(std::exchange(building_, {}));
  building_.ref.first = next;
}

bool JobSubmission::AllPacked() const noexcept {
  return packed_to_ == request_.body.size() && building_.ref.count == 0;
}

void JobSubmission::SendSegment(SegmentWrite& segment, TimePoint now) {
  segment.token = calls_.Add(
      platform::WriteRequest{std::string(kInputKind),
                             InputName(id_, record_.body_hash, segment.ref), 0,
                             segment.value},
      now + settings_.call_timeout);
}

// A conflict means that the segment is there already: its name fixes its value
// (store_names.h), so an earlier attempt or a resend wrote the same one. A lost
// answer needs no more than sending it again.
void JobSubmission::OnSegmentAnswer(const StoreAnswer& answer, TimePoint now) {
  const auto segment = std::find_if(
      window_.begin(), window_.end(),
      [&](const SegmentWrite& s) { return s.token == answer.token; });
  if (segment == window_.end()) return;
  switch (answer.outcome) {
    case StoreOutcome::kOk:
    case StoreOutcome::kConflict:
      backoff_.Reset();
      window_.erase(segment);
      return FillWindow(now);
    case StoreOutcome::kRejected:
      return Finish(SubmitOutcome::kInvalid, answer.message);
    default:
      segment->token = 0;
      segment->send_at = backoff_.Next(now, answer.retry_after);
  }
}

void JobSubmission::OnJobAnswer(const StoreAnswer& answer, TimePoint now) {
  switch (answer.outcome) {
    case StoreOutcome::kOk:
      return Finish(SubmitOutcome::kAccepted, "");
    case StoreOutcome::kConflict:
      step_ = Step::kReadBack;
      return SendRead(now);
    case StoreOutcome::kRejected:
      return Finish(SubmitOutcome::kInvalid, answer.message);
    case StoreOutcome::kUnknown:
      if (!settings_.read_back_lost_answers) {
        return Finish(SubmitOutcome::kAccepted, "");
      }
      in_doubt_ = true;
      step_ = Step::kReadBack;
      return SendRead(now);
    default:
      RetryAt(backoff_.Next(now, answer.retry_after));
  }
}

void JobSubmission::OnReadBackAnswer(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome == StoreOutcome::kOk) {
    return FinishWithExisting(answer.objects.front());
  }
  // Not there: the write did not take effect yet. It may still be on its way,
  // so the doubt stays; whichever lands first wins, both hold the same value.
  if (answer.outcome == StoreOutcome::kNotFound) step_ = Step::kWriteJob;
  RetryAt(backoff_.Next(now, answer.retry_after));
}

void JobSubmission::FinishWithExisting(const platform::StoredObject& object) {
  auto existing = DecodeJobRecord(object.value);
  if (!existing) {
    return Finish(SubmitOutcome::kConflict,
                  "the stored job of this key cannot be read");
  }
  const bool same = existing->body_hash == record_.body_hash &&
                    existing->workspace == record_.workspace &&
                    existing->key == record_.key;
  if (!same) {
    return Finish(SubmitOutcome::kConflict,
                  "the key was used for a job with another body");
  }
  record_ = std::move(*existing);
  Finish(own_write_ ? SubmitOutcome::kAccepted : SubmitOutcome::kResent, "");
}

void JobSubmission::Finish(SubmitOutcome outcome, std::string message) {
  result_ = SubmitResult{outcome, id_, record_, std::move(message)};
  window_.clear();
  request_.body.clear();
}

}  // namespace knapweedstile::jobs
