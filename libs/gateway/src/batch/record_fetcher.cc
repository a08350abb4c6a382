#include "batch/record_fetcher.h"

#include <utility>

#include "base/log.h"

namespace knapweedstile::gateway {
namespace {

constexpr std::chrono::milliseconds kReadTimeout{800};
// After both holders of many jobs have failed, so that the records do not
// occupy the link of a small VM at once.
constexpr size_t kMaxBackgroundReads = 4;
constexpr std::chrono::milliseconds kRetryPause{250};
// The store has answered, but the record does not exist or did not complete the
// job: another read seldom helps.
constexpr std::chrono::milliseconds kAnsweredPause{5000};

Duration PauseAfter(platform::StoreOutcome outcome) {
  const bool answered = outcome == platform::StoreOutcome::kOk ||
                        outcome == platform::StoreOutcome::kNotFound;
  return answered ? kAnsweredPause : kRetryPause;
}

}  // namespace

RecordFetcher::RecordFetcher(Callbacks callbacks)
    : callbacks_(std::move(callbacks)) {}

void RecordFetcher::Fetch(const std::string& name, TimePoint now,
                          Callback done) {
  const auto [waiting, is_new] = waiting_.try_emplace(name);
  waiting->second.push_back(std::move(done));
  if (!is_new) return;
  callbacks_.read(
      name, now + kReadTimeout,
      [this, name](const platform::StoreAnswer& answer, TimePoint answered_at) {
        OnRead(name, answer, answered_at);
      });
}

void RecordFetcher::FetchInBackground(const std::string& name, TimePoint now) {
  if (waiting_.contains(name) || waiting_.size() >= kMaxBackgroundReads) return;
  if (!callbacks_.store_reachable()) return;
  std::erase_if(retry_at_, [now](const auto& e) { return e.second <= now; });
  if (retry_at_.contains(name)) return;
  Fetch(name, now, [](bool) {});
}

void RecordFetcher::OnRead(const std::string& name,
                           const platform::StoreAnswer& answer,
                           TimePoint answered_at) {
  // A job that was deleted since the call began stays deleted.
  const bool read = answer.outcome == platform::StoreOutcome::kOk &&
                    !answer.objects.empty() && callbacks_.job_known(name);
  LogInfo("record_fetched",
          {{"name", name}, {"outcome", NameOf(answer.outcome)}});
  retry_at_[name] = answered_at + PauseAfter(answer.outcome);
  if (read) callbacks_.apply(answer.objects.front());
  auto waiting = waiting_.extract(name);
  for (const Callback& done : waiting.mapped()) done(read);
}

}  // namespace knapweedstile::gateway
