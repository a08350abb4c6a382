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

// Retry pauses during a store outage: short enough that changes are seen within
// two seconds of its return, and no shorter, since rejected calls cost as much
// as others.
constexpr std::chrono::milliseconds kFirstRetryPause{100};
constexpr std::chrono::milliseconds kMaxRetryPause{1000};
constexpr std::chrono::milliseconds kRareRetryPause{4000};
// Timeout for the first page of a list: a slow store takes 0.4 s, and a silent
// one should be called again soon.
constexpr std::chrono::milliseconds kListTimeout{1000};
// A list that took longer than this is followed by a watch that does not wait,
// which returns the changes made since the list began.
constexpr std::chrono::milliseconds kFreshListLimit{100};
constexpr std::chrono::milliseconds kMinWatchWait{1};
// A watch delivers a change within milliseconds. One that has waited this long
// while peers report a change is considered silent.
constexpr std::chrono::milliseconds kSilentWatchThreshold{500};
// Time for the response of a watch to arrive. The store responds in
// milliseconds, or in a quarter of a second when it is slow.
constexpr std::chrono::milliseconds kWatchGrace{700};
// A page of a large kind is a megabyte, which takes a second on a 30 Mbit/s
// link that is shared with responses to callers.
constexpr std::chrono::milliseconds kLargeResponseTimeout{4000};
// Minimum interval between refreshes; peer reports that trigger them arrive
// several times a second.
constexpr std::chrono::milliseconds kRefreshInterval{1000};
// Interval between reads of the changes while a large kind is listed, as a
// fraction of the time that the store retains them.
constexpr int kHistoryReadsPerRetention = 10;

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
    // The pause was ended after its timer had already fired.
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
  const auto max_pause =
      settings_.probes_lost_store ? kMaxRetryPause : kRareRetryPause;
  const auto pause =
      std::min(kFirstRetryPause * (1 << std::min(failures_, 5U)), max_pause);
  ++failures_;
  retrying_ = true;
  ScheduleAfter(std::max<Duration>(pause, answer.retry_after), next);
}

auto KindMirror::IfCurrent(void (KindMirror::*handler)(StoreAnswer&&)) {
  return [this, handler, generation = generation_](StoreAnswer&& answer) {
    if (generation == generation_) (this->*handler)(std::move(answer));
  };
}

void KindMirror::SupersedeCall() {
  ++generation_;
  store_.Abandon(call_);
}

void KindMirror::EndPause() {
  ++pause_number_;
  timer_.cancel();
  pausing_ = retrying_ = false;
}

void KindMirror::Stop() {
  stopped_ = true;
  SupersedeCall();
  EndPause();
}

void KindMirror::SkipPause() {
  if (!pausing_) return;
  EndPause();
  ReadNow();
}

void KindMirror::SetReceivesUpdates(bool receives_updates) {
  if (receives_updates_ == receives_updates) return;
  receives_updates_ = receives_updates;
  // A watch returns the changes since then immediately.
  if (!receives_updates && waiting_for_updates_) Watch();
}

bool KindMirror::IsContiguous(const StoreUpdate& update) const {
  if (update.digest_before == digest_.value()) return true;
  if (update.after > revision_) return false;
  if (update.after == revision_) return true;
  // A deletion may carry the version of the preceding change, so a known
  // deletion cannot be distinguished from a new one.
  return std::none_of(update.objects.begin(), update.objects.end(),
                      [](const auto& object) { return object.deleted; });
}

void KindMirror::OnStoreUpdate(StoreUpdate&& update) {
  // The response to a call in flight may be older than the update.
  const bool idle = waiting_for_updates_ || (pausing_ && !retrying_);
  if (!idle || update.as_of <= revision_) return;
  if (!IsContiguous(update))
    return waiting_for_updates_ ? ReadNow() : SkipPause();
  const uint64_t known_revision = std::exchange(revision_, update.as_of);
  for (platform::StoredObject& object : update.objects) {
    if (!object.deleted && object.version <= known_revision) continue;
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
  if (!watching_ || lists_pages()) return;
  SupersedeCall();
  ReadNow();
}

void KindMirror::RenewWatch() {
  if (!watching_ || lists_pages() ||
      MonotonicNow() - call_began_ < kSilentWatchThreshold) {
    return;
  }
  LogInfo("mirror_watch_renewed",
          {{"kind", settings_.kind}, {"revision", revision_}});
  ReadAgain();
}

void KindMirror::OnStoreRegained() {
  if (pausing_ || (revision_ == 0 && !retrying_)) return;
  // Guards against a list that never completes: on a VM with a busy link,
  // responses arrive late, and the store is considered lost and regained
  // several times a second. Each time, all records would be listed again.
  if (lists_pages()) {
    if (!retrying_) return;
    EndPause();
    return cursor_.complete() ? ReadHistory() : ReadPage();
  }
  SupersedeCall();
  EndPause();
  if (settings_.large_kind && revision_ != 0) return ReadNow();
  List();
}

void KindMirror::Refresh() {
  const TimePoint now = MonotonicNow();
  if (revision_ == 0 || lists_pages()) return;
  if (now - refreshed_at_ < kRefreshInterval) return;
  refreshed_at_ = now;
  LogInfo("mirror_refreshed",
          {{"kind", settings_.kind}, {"newest_change", newest_change_}});
  SupersedeCall();
  EndPause();
  ReadNow();
}

void KindMirror::List() {
  if (stopped_) return;
  if (settings_.large_kind) return ListPages();
  waiting_for_updates_ = false;
  watching_ = false;
  listing_ = true;
  call_began_ = MonotonicNow();
  const bool stale =
      settings_.stale_first_list && revision_ == 0 && failures_ == 0;
  call_ = store_.Call(
      platform::ListRequest{.kind = settings_.kind, .allow_stale = stale},
      call_began_ + kListTimeout, IfCurrent(&KindMirror::OnListed));
}

void KindMirror::OnListed(StoreAnswer&& answer) {
  listing_ = false;
  if (answer.outcome != StoreOutcome::kOk) {
    return Retry(&KindMirror::List, answer);
  }
  failures_ = 0;
  following_ = true;
  listed_ = true;
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
  caught_up_ = !may_be_stale && MonotonicNow() - call_began_ <= kFreshListLimit;
  handlers_.listed(std::move(answer.objects));
  if (handlers_.read_completed && !may_be_stale)
    handlers_.read_completed(call_began_);
  if (may_be_stale && settings_.pause_after_stale_list) return Pause();
  Watch();
}

void KindMirror::ListPages() {
  waiting_for_updates_ = false;
  listing_ = true;
  list_began_ = MonotonicNow();
  awaits_first_page_ = true;
  cursor_.Begin();
  ReadPage();
}

void KindMirror::ReadPage() {
  if (stopped_) return;
  watching_ = false;
  call_began_ = MonotonicNow();
  call_ = store_.Call(
      platform::ListRequest{
          .kind = settings_.kind, .one_page = true, .after = cursor_.after()},
      call_began_ + kLargeResponseTimeout, IfCurrent(&KindMirror::OnPage));
}

// The changes since the first page are read between later ones, so that they
// are all known at the end of the list, however long it takes.
void KindMirror::OnPage(StoreAnswer&& answer) {
  if (answer.outcome != StoreOutcome::kOk) {
    return Retry(&KindMirror::ReadPage, answer);
  }
  failures_ = 0;
  following_ = true;
  const bool first = std::exchange(awaits_first_page_, false);
  if (first) {
    revision_ = std::max<uint64_t>(answer.revision, 1);
    history_read_at_ = call_began_;
  }
  for (const platform::StoredObject& object : answer.objects) {
    newest_change_ = std::max(newest_change_, object.version);
  }
  cursor_.AddPage(answer.objects, answer.more);
  handlers_.listed(std::move(answer.objects));
  if (cursor_.complete()) {
    if (!first || MonotonicNow() - call_began_ > kFreshListLimit)
      return ReadHistory();
    OnAllPagesRead();
    return Watch();
  }
  const Duration since_read = MonotonicNow() - history_read_at_;
  if (since_read * kHistoryReadsPerRetention >= settings_.history_retention)
    return ReadHistory();
  ReadPage();
}

void KindMirror::ReadHistory() {
  immediate_read_ = false;
  WatchFor(kMinWatchWait);
}

// The call in flight before was the last of a list.
void KindMirror::OnAllPagesRead() {
  listing_ = false;
  listed_ = true;
  caught_up_ = true;
  up_to_date_at_ = call_began_;
  LogInfo("mirror_listed",
          {{"kind", settings_.kind},
           {"objects", cursor_.names().size()},
           {"revision", revision_},
           {"took_ms", ToMillis(MonotonicNow() - list_began_)}});
  const std::set<std::string> names = cursor_.TakeNames();
  if (handlers_.list_completed) handlers_.list_completed(names, list_began_);
  if (handlers_.read_completed) handlers_.read_completed(call_began_);
}

void KindMirror::Watch() {
  immediate_read_ = false;
  if (settings_.on_demand && caught_up_) return Pause();
  waiting_for_updates_ =
      receives_updates_ && (caught_up_ || settings_.stale_first_list);
  if (waiting_for_updates_) return;
  WatchFor(caught_up_ ? WatchWait() : kMinWatchWait);
}

Duration KindMirror::WatchWait() const {
  return handlers_.watch_wait ? handlers_.watch_wait()
                              : Duration(settings_.watch_wait);
}

// Beyond the retained history, the store could only report that it was
// compacted.
void KindMirror::ReadNow() {
  const bool history_compacted = caught_up_ && MonotonicNow() - up_to_date_at_ >
                                                   settings_.history_retention;
  if (settings_.on_demand && history_compacted) return List();
  immediate_read_ = true;
  waiting_for_updates_ = false;
  WatchFor(kMinWatchWait);
}

void KindMirror::WatchFor(Duration wait) {
  if (stopped_) return;
  call_began_ = MonotonicNow();
  watching_ = true;
  const Duration grace =
      settings_.large_kind ? kLargeResponseTimeout : kWatchGrace;
  call_ = store_.Call(
      platform::WatchRequest{.kind = settings_.kind,
                             .after = revision_,
                             .wait_until = call_began_ + wait,
                             .response_deadline = call_began_ + wait + grace},
      kNever, IfCurrent(&KindMirror::OnWatched));
}

void KindMirror::OnWatched(StoreAnswer&& answer) {
  watching_ = false;
  if (answer.outcome == StoreOutcome::kCompacted) {
    LogInfo("mirror_history_gone", {{"kind", settings_.kind},
                                    {"revision", revision_},
                                    {"listing", lists_pages()},
                                    {"listed", cursor_.names().size()}});
    return List();
  }
  if (answer.outcome != StoreOutcome::kOk) {
    // Retries with a call that does not wait, since it returns as soon as the
    // store is back. Lists again where that is cheap, because the changes
    // during the outage may exceed the store's history.
    if (lists_pages()) return Retry(&KindMirror::ReadHistory, answer);
    const bool resume = settings_.large_kind && revision_ != 0;
    return Retry(resume ? &KindMirror::ReadNow : &KindMirror::List, answer);
  }
  failures_ = 0;
  following_ = true;
  if (!answer.objects.empty()) {
    LogInfo("mirror_read", {{"kind", settings_.kind},
                            {"after", revision_},
                            {"as_of", answer.revision},
                            {"objects", answer.objects.size()},
                            {"last", answer.objects.back().version}});
  }
  StoreUpdate update{.kind = settings_.kind,
                     .after = revision_,
                     .digest_before = digest_.value(),
                     .as_of = std::max(revision_, answer.revision)};
  for (const platform::StoredObject& object : answer.objects) {
    update.as_of = std::max(update.as_of, object.version);
  }
  if (handlers_.update_read) {
    update.objects = answer.objects;
    handlers_.update_read(update);
  }
  revision_ = update.as_of;
  for (platform::StoredObject& object : answer.objects) {
    newest_change_ = std::max(newest_change_, object.version);
    if (lists_pages()) cursor_.AddChange(object);
    ApplyChange(std::move(object));
  }
  // Only a part of the changes was returned. Pausing now would let this mirror
  // fall further behind with each response, and the read is not complete.
  if (answer.more) {
    caught_up_ = false;
    return WatchFor(kMinWatchWait);
  }
  if (lists_pages()) {
    history_read_at_ = call_began_;
    if (!cursor_.complete()) return ReadPage();
    OnAllPagesRead();
    return Watch();
  }
  caught_up_ = true;
  up_to_date_at_ = call_began_;
  if (handlers_.read_completed) handlers_.read_completed(call_began_);
  // An immediate read is followed by a pause even if it returned no changes.
  // Otherwise a waiting watch would follow, which the next change or immediate
  // read ends: two calls for each change instead of one.
  const bool pause = !answer.objects.empty() || immediate_read_;
  if (!pause || settings_.pause.count() == 0) return Watch();
  Pause();
}

void KindMirror::Pause() {
  pausing_ = true;
  ScheduleAfter(settings_.pause, settings_.on_demand ? &KindMirror::ReadNow
                                                     : &KindMirror::Watch);
}

}  // namespace knapweedstile::gateway
