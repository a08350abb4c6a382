#include "kind_mirror.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "store_calls.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;

// Between tries while the store is away: short enough that changes are seen
// well within two seconds of its return.
constexpr std::chrono::milliseconds kFirstRetry{100};
constexpr std::chrono::milliseconds kLastRetry{500};
constexpr std::chrono::milliseconds kListTimeout{2500};

}  // namespace

KindMirror::KindMirror(boost::asio::io_context& io, StoreCalls& store,
                       MirrorSettings settings, Handlers handlers)
    : store_(store),
      settings_(std::move(settings)),
      handlers_(std::move(handlers)),
      timer_(io) {}

void KindMirror::After(Duration pause, void (KindMirror::*next)()) {
  timer_.expires_after(pause);
  timer_.async_wait([this, next](const boost::system::error_code& ec) {
    if (!ec) (this->*next)();
  });
}

void KindMirror::Retry(void (KindMirror::*next)(), const StoreAnswer& answer) {
  if (std::exchange(following_, false)) {
    LogWarning("mirror_lost", {{"kind", settings_.kind},
                               {"revision", revision_},
                               {"outcome", NameOf(answer.outcome)},
                               {"reason", answer.message}});
  }
  const auto pause =
      std::min(kFirstRetry * (1 << std::min(failures_, 3U)), kLastRetry);
  ++failures_;
  After(std::max<Duration>(pause, answer.retry_after), next);
}

void KindMirror::List() {
  store_.Call(platform::ListRequest{.kind = settings_.kind},
              MonotonicNow() + kListTimeout,
              [this](StoreAnswer&& answer) { OnListed(std::move(answer)); });
}

void KindMirror::OnListed(StoreAnswer&& answer) {
  if (answer.outcome != StoreOutcome::kOk) {
    return Retry(&KindMirror::List, answer);
  }
  failures_ = 0;
  following_ = true;
  revision_ = std::max<uint64_t>(answer.revision, 1);
  LogInfo("mirror_listed", {{"kind", settings_.kind},
                            {"objects", answer.objects.size()},
                            {"revision", revision_}});
  handlers_.listed(std::move(answer.objects));
  Watch();
}

void KindMirror::Watch() {
  store_.Call(platform::WatchRequest{.kinds = {settings_.kind},
                                     .after = revision_,
                                     .wait_until =
                                         MonotonicNow() + settings_.watch_wait},
              kNever,
              [this](StoreAnswer&& answer) { OnWatched(std::move(answer)); });
}

void KindMirror::OnWatched(StoreAnswer&& answer) {
  if (answer.outcome == StoreOutcome::kCompacted) {
    LogInfo("mirror_history_gone",
            {{"kind", settings_.kind}, {"revision", revision_}});
    return List();
  }
  if (answer.outcome != StoreOutcome::kOk) {
    // A list, not another watch: what changed while the store was away may be
    // more than its history holds.
    return Retry(failures_ == 0 ? &KindMirror::Watch : &KindMirror::List,
                 answer);
  }
  failures_ = 0;
  following_ = true;
  revision_ = std::max(revision_, answer.revision);
  for (platform::StoredObject& object : answer.objects) {
    revision_ = std::max(revision_, object.version);
    handlers_.changed(std::move(object));
  }
  if (answer.objects.empty() || settings_.pause.count() == 0) return Watch();
  After(settings_.pause, &KindMirror::Watch);
}

}  // namespace knapweedstile::gateway
