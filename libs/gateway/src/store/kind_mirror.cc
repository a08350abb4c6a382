#include "store/kind_mirror.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;

// Between tries while the store is away: short enough that changes are seen
// within two seconds of its return, and no shorter, since calls that are turned
// away cost as much as others.
constexpr std::chrono::milliseconds kFirstRetry{100};
constexpr std::chrono::milliseconds kLastRetry{1000};
constexpr std::chrono::milliseconds kSeldomRetry{4000};
// Of a list's first page: a store that is slow takes 0.4 s, and one that is
// silent is to be asked again soon.
constexpr std::chrono::milliseconds kListTimeout{1000};
// A list that took longer is followed by a watch that does not wait, which says
// what has changed meanwhile.
constexpr std::chrono::milliseconds kFreshList{100};
constexpr std::chrono::milliseconds kShortestWait{1};
// A watch brings a change within milliseconds; one that has waited this long
// while others tell of a change has gone silent.
constexpr std::chrono::milliseconds kSilentWatch{500};
// For the answer of a watch to arrive: the store answers in milliseconds, and
// in a quarter of a second when it is slow.
constexpr std::chrono::milliseconds kWatchGrace{700};
// A page of a large kind is a megabyte, which takes a second on a link of 30
// Mbit/s that answers to callers share.
constexpr std::chrono::milliseconds kLargeAnswer{4000};
// Refreshes follow hints of other entries, which come several times a second.
constexpr std::chrono::milliseconds kRefreshPause{1000};

}  // namespace

KindMirror::KindMirror(boost::asio::io_context& io, StoreCalls& store,
                       MirrorSettings settings, Handlers handlers)
    : store_(store),
      settings_(std::move(settings)),
      handlers_(std::move(handlers)),
      timer_(io) {}

void KindMirror::ScheduleAfter(Duration pause, void (KindMirror::*next)()) {
  timer_.expires_after(pause);
  timer_.async_wait([this, next, pause_number = ++pause_number_](
                        const boost::system::error_code& ec) {
    // A pause that was ended while its timer had already fired.
    if (ec || pause_number != pause_number_) return;
    pausing_ = retrying_ = false;
    (this->*next)();
  });
}

void KindMirror::Retry(void (KindMirror::*next)(), const StoreAnswer& answer) {
  if (std::exchange(following_, false)) {
    LogWarning("mirror_lost", {{"kind", settings_.kind},
                               {"revision", revision_},
                               {"outcome", NameOf(answer.outcome)},
                               {"reason", answer.message}});
  }
  const auto longest = settings_.probes_lost_store ? kLastRetry : kSeldomRetry;
  const auto pause =
      std::min(kFirstRetry * (1 << std::min(failures_, 5U)), longest);
  ++failures_;
  retrying_ = true;
  ScheduleAfter(std::max<Duration>(pause, answer.retry_after), next);
}

auto KindMirror::IfCurrent(void (KindMirror::*handler)(StoreAnswer&&)) {
  return [this, handler, generation = generation_](StoreAnswer&& answer) {
    if (generation == generation_) (this->*handler)(std::move(answer));
  };
}

void KindMirror::EndPause() {
  ++pause_number_;
  timer_.cancel();
  pausing_ = retrying_ = false;
}

void KindMirror::Stop() {
  stopped_ = true;
  ++generation_;
  EndPause();
}

void KindMirror::SkipPause() {
  if (!pausing_) return;
  EndPause();
  ReadNow();
}

void KindMirror::SetReceivesUpdates(bool fed) {
  if (receives_updates_ == fed) return;
  receives_updates_ = fed;
  // A watch brings at once what has changed since.
  if (!fed && waiting_for_updates_) Watch();
}

bool KindMirror::IsContiguous(const StoreUpdate& news) const {
  if (news.digest_before == digest_.value()) return true;
  if (news.after > revision_) return false;
  if (news.after == revision_) return true;
  // A removal may carry the version of the change before it, so that one which
  // is known already cannot be told from a new one.
  return std::none_of(news.objects.begin(), news.objects.end(),
                      [](const auto& object) { return object.deleted; });
}

void KindMirror::OnStoreUpdate(StoreUpdate&& news) {
  // The answer to a call in flight may be older than the news.
  const bool idle = waiting_for_updates_ || (pausing_ && !retrying_);
  if (!idle || news.as_of <= revision_) return;
  if (!IsContiguous(news))
    return waiting_for_updates_ ? ReadNow() : SkipPause();
  const uint64_t known = std::exchange(revision_, news.as_of);
  for (platform::StoredObject& object : news.objects) {
    if (!object.deleted && object.version <= known) continue;
    newest_change_ = std::max(newest_change_, object.version);
    ApplyChange(std::move(object));
  }
}

void KindMirror::ApplyChange(platform::StoredObject&& object) {
  if (handlers_.update_read) digest_.Apply(object);
  handlers_.changed(std::move(object));
}

void KindMirror::ReadAgain() {
  if (waiting_for_updates_) return ReadNow();
  if (pausing_) return SkipPause();
  if (!watching_) return;
  ++generation_;
  ReadNow();
}

void KindMirror::RenewWatch() {
  if (!watching_ || MonotonicNow() - call_began_ < kSilentWatch) return;
  LogInfo("mirror_watch_renewed",
          {{"kind", settings_.kind}, {"revision", revision_}});
  ReadAgain();
}

void KindMirror::OnStoreRegained() {
  if (pausing_ || (revision_ == 0 && !retrying_)) return;
  // Failure guarded against: at VMs whose links were busy, answers came late,
  // the store was taken for lost and regained several times a second, and each
  // time all records were listed once more; no list ever came to its end.
  if (settings_.large_kind && listing_) return;
  ++generation_;
  EndPause();
  if (settings_.large_kind && revision_ != 0) return ReadNow();
  List();
}

void KindMirror::Refresh() {
  const TimePoint now = MonotonicNow();
  if (revision_ == 0 || now - refreshed_at_ < kRefreshPause) return;
  refreshed_at_ = now;
  LogInfo("mirror_refreshed",
          {{"kind", settings_.kind}, {"newest_change", newest_change_}});
  ++generation_;
  EndPause();
  ReadNow();
}

void KindMirror::List() {
  if (stopped_) return;
  waiting_for_updates_ = false;
  watching_ = false;
  listing_ = true;
  call_began_ = MonotonicNow();
  const Duration timeout = settings_.large_kind ? kLargeAnswer : kListTimeout;
  const bool stale =
      settings_.stale_first_list && revision_ == 0 && failures_ == 0;
  store_.Call(
      platform::ListRequest{.kind = settings_.kind, .may_be_stale = stale},
      call_began_ + timeout, IfCurrent(&KindMirror::OnListed));
}

void KindMirror::OnListed(StoreAnswer&& answer) {
  listing_ = false;
  if (answer.outcome != StoreOutcome::kOk) {
    return Retry(&KindMirror::List, answer);
  }
  failures_ = 0;
  following_ = true;
  up_to_date_at_ = call_began_;
  const bool first = revision_ == 0;
  revision_ = std::max<uint64_t>(answer.revision, 1);
  if (handlers_.update_read) digest_.Reset(answer.objects);
  LogInfo("mirror_listed", {{"kind", settings_.kind},
                            {"objects", answer.objects.size()},
                            {"revision", revision_}});
  for (const platform::StoredObject& object : answer.objects) {
    newest_change_ = std::max(newest_change_, object.version);
  }
  const bool may_be_stale = settings_.stale_first_list && first;
  caught_up_ = !may_be_stale && MonotonicNow() - call_began_ <= kFreshList;
  handlers_.listed(std::move(answer.objects));
  if (handlers_.read_completed && !may_be_stale)
    handlers_.read_completed(call_began_);
  if (may_be_stale && settings_.pause_after_stale_list) return Pause();
  Watch();
}

void KindMirror::Watch() {
  immediate_read_ = false;
  if (settings_.on_demand && caught_up_) return Pause();
  waiting_for_updates_ =
      receives_updates_ && (caught_up_ || settings_.stale_first_list);
  if (waiting_for_updates_) return;
  WatchFor(caught_up_ ? settings_.watch_wait : kShortestWait);
}

// Beyond the history the store could only say that it is gone.
void KindMirror::ReadNow() {
  const bool history_gone =
      MonotonicNow() - up_to_date_at_ > settings_.history_retention;
  if (settings_.on_demand && history_gone) return List();
  immediate_read_ = true;
  waiting_for_updates_ = false;
  WatchFor(kShortestWait);
}

void KindMirror::WatchFor(Duration wait) {
  if (stopped_) return;
  call_began_ = MonotonicNow();
  watching_ = true;
  const Duration grace = settings_.large_kind ? kLargeAnswer : kWatchGrace;
  store_.Call(platform::WatchRequest{.kind = settings_.kind,
                                     .after = revision_,
                                     .wait_until = call_began_ + wait,
                                     .give_up_at = call_began_ + wait + grace},
              kNever, IfCurrent(&KindMirror::OnWatched));
}

void KindMirror::OnWatched(StoreAnswer&& answer) {
  watching_ = false;
  if (answer.outcome == StoreOutcome::kCompacted) {
    LogInfo("mirror_history_gone",
            {{"kind", settings_.kind}, {"revision", revision_}});
    return List();
  }
  if (answer.outcome != StoreOutcome::kOk) {
    // A call that does not wait: it is answered at once when the store is back.
    // A list where that is cheap: what changed meanwhile may be more than the
    // store's history holds.
    const bool go_on = settings_.large_kind && revision_ != 0;
    return Retry(go_on ? &KindMirror::ReadNow : &KindMirror::List, answer);
  }
  failures_ = 0;
  following_ = true;
  up_to_date_at_ = call_began_;
  if (!answer.objects.empty()) {
    LogInfo("mirror_read", {{"kind", settings_.kind},
                            {"after", revision_},
                            {"as_of", answer.revision},
                            {"objects", answer.objects.size()},
                            {"last", answer.objects.back().version}});
  }
  StoreUpdate news{.kind = settings_.kind,
                   .after = revision_,
                   .digest_before = digest_.value(),
                   .as_of = std::max(revision_, answer.revision)};
  for (const platform::StoredObject& object : answer.objects) {
    news.as_of = std::max(news.as_of, object.version);
  }
  if (handlers_.update_read) {
    news.objects = answer.objects;
    handlers_.update_read(news);
  }
  revision_ = news.as_of;
  for (platform::StoredObject& object : answer.objects) {
    newest_change_ = std::max(newest_change_, object.version);
    ApplyChange(std::move(object));
  }
  // A part of what has changed: resting now would let this mirror fall further
  // behind with each answer, and what was read is not all there is.
  if (answer.more) return Watch();
  caught_up_ = true;
  if (handlers_.read_completed) handlers_.read_completed(call_began_);
  // One who reads now again and again would leave a watch behind each time,
  // which the next change ends: two calls for one.
  const bool rest = !answer.objects.empty() || immediate_read_;
  if (!rest || settings_.pause.count() == 0) return Watch();
  Pause();
}

void KindMirror::Pause() {
  pausing_ = true;
  ScheduleAfter(settings_.pause, settings_.on_demand ? &KindMirror::ReadNow
                                                     : &KindMirror::Watch);
}

}  // namespace knapweedstile::gateway
