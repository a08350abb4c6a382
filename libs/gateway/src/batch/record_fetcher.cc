#include "batch/record_fetcher.h"

#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "batch/record_kinds.h"
#include "batch/record_reader.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

constexpr std::chrono::milliseconds kReadTimeout{800};
// After both holders of many jobs have failed, so that the records do not
// occupy the link of a small VM at once.
constexpr size_t kMaxBackgroundReads = 4;
constexpr std::chrono::milliseconds kBackgroundRetry{1000};

}  // namespace

void RecordFetcher::Fetch(const std::string& name, Callback done) {
  const auto [waiting, is_new] = waiting_.try_emplace(name);
  waiting->second.push_back(std::move(done));
  if (!is_new) return;
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = kinds_.KindOfJob(ParseRecordName(name).id),
                            .name = name},
      MonotonicNow() + kReadTimeout,
      [this, name](platform::StoreAnswer&& answer) { OnRead(name, answer); });
}

void RecordFetcher::FetchInBackground(const std::string& name, TimePoint now) {
  if (waiting_.contains(name) || waiting_.size() >= kMaxBackgroundReads) return;
  std::erase_if(retry_at_, [now](const auto& e) { return e.second <= now; });
  if (retry_at_.contains(name) || !store_.reachable()) return;
  retry_at_[name] = now + kBackgroundRetry;
  Fetch(name, [](bool) {});
}

void RecordFetcher::OnRead(const std::string& name,
                           const platform::StoreAnswer& answer) {
  const bool read =
      answer.outcome == platform::StoreOutcome::kOk && !answer.objects.empty();
  LogInfo("record_fetched",
          {{"name", name}, {"outcome", NameOf(answer.outcome)}});
  if (read) {
    reader_.ApplyRecord(answer.objects.front(), RecordOrigin::kFull);
  }
  auto waiting = waiting_.extract(name);
  for (const Callback& done : waiting.mapped()) done(read);
}

}  // namespace knapweedstile::gateway
