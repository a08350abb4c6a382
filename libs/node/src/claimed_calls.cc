#include "claimed_calls.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "jobs/claim_request.h"
#include "jobs/claim_settings.h"
#include "jobs/job_id.h"
#include "platform_calls.h"

namespace knapweedstile::node {
namespace {

jobs::ClaimRequest RequestOf(const PreparedRequest& prepared,
                             const std::string& key,
                             const std::string& writer) {
  const pb::RunRequest& message = prepared.message;
  jobs::ClaimRequest request;
  request.workspace = message.workspace();
  request.key = key;
  request.request_hash = jobs::WideHash(message.method() + ' ' +
                                        message.path() + '\n' + message.body());
  request.writer = writer;
  request.deadline = prepared.info.deadline;
  return request;
}

}  // namespace

ClaimedCalls::ClaimedCalls(PlatformCalls& platform, uint64_t seed,
                           OnVerdict on_verdict)
    : platform_(platform), seed_(seed), on_verdict_(std::move(on_verdict)) {}

void ClaimedCalls::Begin(TimePoint now, PreparedRequest&& prepared,
                         const std::string& key, const std::string& writer) {
  const RequestId id = prepared.info.id;
  jobs::Claim claim(jobs::ClaimSettings(), RequestOf(prepared, key, writer),
                    HashCombine(seed_, id.value()));
  Entry& entry =
      claims_.emplace(id, Entry{std::move(claim), std::move(prepared), false})
          .first->second;
  entry.claim.Start(now);
  Pump(now, id);
}

void ClaimedCalls::OnAnswered(TimePoint now, RequestId id,
                              jobs::ClaimAnswer answer) {
  const auto found = claims_.find(id);
  if (found == claims_.end()) return;
  found->second.claim.OnAnswered(std::move(answer), now);
  Pump(now, id);
}

void ClaimedCalls::OnNotRun(TimePoint now, RequestId id) {
  const auto found = claims_.find(id);
  if (found == claims_.end()) return;
  found->second.claim.OnNotRun(now);
  Pump(now, id);
}

void ClaimedCalls::OnOutcomeUnknown(TimePoint now, RequestId id) {
  const auto found = claims_.find(id);
  if (found == claims_.end()) return;
  found->second.claim.OnOutcomeUnknown();
  Pump(now, id);
}

void ClaimedCalls::Tick(TimePoint now) {
  for (auto entry = claims_.begin(); entry != claims_.end();) {
    // Pump may erase the entry.
    const RequestId id = entry->first;
    entry->second.claim.Tick(now);
    ++entry;
    Pump(now, id);
  }
}

void ClaimedCalls::Pump(TimePoint now, RequestId id) {
  const auto found = claims_.find(id);
  if (found == claims_.end()) return;
  Entry& entry = found->second;
  for (platform::StoreRequest& call : entry.claim.TakeCalls()) {
    platform_.Call(std::move(call),
                   [this, id](TimePoint at, platform::StoreAnswer&& answer) {
                     const auto held = claims_.find(id);
                     if (held == claims_.end()) return;
                     held->second.claim.OnAnswer(answer, at);
                     Pump(at, id);
                   });
  }
  if (!entry.judged && entry.claim.verdict()) {
    entry.judged = true;
    // May come back to this claim (a call that is refused at once), so nothing
    // of the entry is used afterwards.
    on_verdict_(now, id, *entry.claim.verdict(), entry.claim.replay(),
                std::move(entry.prepared));
    Pump(now, id);
    return;
  }
  if (entry.claim.finished()) claims_.erase(found);
}

TimePoint ClaimedCalls::NextWake() const {
  TimePoint wake = kNever;
  for (const auto& [id, entry] : claims_) {
    wake = std::min(wake, entry.claim.next_wakeup());
  }
  return wake;
}

}  // namespace knapweedstile::node
