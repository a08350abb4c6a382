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

uint64_t CountItems(const std::string& body) {
  uint64_t count = 0;
  for (size_t offset = 0; offset < body.size();) {
    if (!IsBlank(LineAt(body, offset))) ++count;
  }
  return count;
}

}  // namespace

JobSubmission::JobSubmission(const SubmissionSettings& settings,
                             SubmitRequest request, uint64_t seed)
    : settings_(settings),
      request_(std::move(request)),
      id_(MakeJobId(request_.workspace, request_.key, settings.shard_count)),
      backoff_(seed) {}

void JobSubmission::Start(TimePoint now) {
  const uint64_t total = CountItems(request_.body);
  if (total == 0) return Finish(SubmitOutcome::kInvalid, "the job has no item");
  if (total > settings_.max_items) {
    return Finish(SubmitOutcome::kInvalid,
                  "the job has " + std::to_string(total) + " items; at most " +
                      std::to_string(settings_.max_items) + " are allowed");
  }
  record_.workspace = request_.workspace;
  record_.key = request_.key;
  record_.body_hash = WideHash(request_.body);
  record_.total = static_cast<uint32_t>(total);
  record_.created_ms = request_.created_ms;
  record_.due_ms = request_.due_ms;
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
  if (step_ == Step::kWriteInputs) return FillWindow(now);
  if (now < retry_at_) return;
  retry_at_ = kNever;
  if (step_ == Step::kWriteJob) return SendJob(now);
  SendRead(now);
}

TimePoint JobSubmission::next_wakeup() const {
  if (finished()) return kNever;
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
// reach.
void JobSubmission::FillWindow(TimePoint now) {
  while (window_.size() < settings_.parallel_writes && PackNextSegment()) {
  }
  for (SegmentWrite& segment : window_) {
    if (segment.token == 0 && now >= segment.send_at) SendSegment(segment, now);
  }
  if (!window_.empty()) return;
  step_ = Step::kWriteJob;
  SendJob(now);
}

bool JobSubmission::PackNextSegment() {
  SegmentWrite segment;
  segment.ref.first = record_.inputs.empty() ? 0
                                             : record_.inputs.back().first +
                                                   record_.inputs.back().count;
  while (packed_to_ < request_.body.size()) {
    size_t next = packed_to_;
    const std::string_view raw = LineAt(request_.body, next);
    if (!IsBlank(raw)) {
      const std::string line = CanonicalLine(raw);
      const bool full =
          segment.ref.count > 0 &&
          segment.value.size() + line.size() >= settings_.segment_bytes;
      if (full) break;
      segment.value += line;
      segment.value += '\n';
      ++segment.ref.count;
    }
    packed_to_ = next;
  }
  if (segment.ref.count == 0) return false;
  record_.inputs.push_back(segment.ref);
  window_.push_back(std::move(segment));
  return true;
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
