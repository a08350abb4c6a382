#ifndef KNAPWEEDSTILE_GATEWAY_KIND_MIRROR_H_
#define KNAPWEEDSTILE_GATEWAY_KIND_MIRROR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/store_answer.h"
#include "store/kind_digest.h"
#include "store/list_cursor.h"
#include "store/store_update.h"

namespace knapweedstile::gateway {

class StoreCalls;

// Settings for following a kind.
struct MirrorSettings {
  std::string kind;
  // How long a watch waits. Bounds the time to detect a silent connection if
  // neither keep-alive probes nor a peer reveals it. Each watch is a call, so a
  // shorter wait costs calls.
  std::chrono::milliseconds watch_wait{4000};
  // Pause between a change and the next watch, so that a burst of changes costs
  // few calls. Bounds how late a change is seen.
  std::chrono::milliseconds pause{0};
  // For kinds whose objects total megabytes, which small VMs read for seconds:
  // a slow response is not taken as a store outage, and the kind is not listed
  // again while a watch can continue from the known revision. It is listed page
  // by page, with reads of the changes between pages; not with `update_read`.
  bool large_kind = false;
  // Watches do not wait: changes are read on demand and after each pause.
  bool on_demand = false;
  // How long the store retains the history of changes.
  std::chrono::milliseconds history_retention{20000};
  // For kinds with many pages: the first list may be stale and is followed by a
  // read of the changes since then.
  bool stale_first_list = false;
  // Pauses after the stale first list; it is recent enough for that time.
  bool pause_after_stale_list = false;
  // Whether this mirror retries frequently while the store is unavailable. The
  // other mirrors are notified when it is back and retry rarely, since
  // otherwise an outage would cost each gateway several calls a second.
  bool probes_lost_store = false;
};

// Mirrors all objects of one kind: a list, then watches from its revision.
//
// Guards against a watch whose connection goes silent (waits are short and have
// a deadline), compacted history (lists again; deleted objects show by their
// absence) and an unavailable store (retries with increasing pauses).
class KindMirror {
 public:
  struct Handlers {
    // All existing objects, after each list; for a large kind, those of a page.
    std::function<void(std::vector<platform::StoredObject>&&)> listed;
    std::function<void(platform::StoredObject&&)> changed;
    // Large kinds only: the names of all objects, after a list that began at
    // `began`. Objects that existed then and are absent were deleted.
    std::function<void(const std::set<std::string>& names, TimePoint began)>
        list_completed;
    // The result of a watch, even if empty; called before `changed`.
    std::function<void(const StoreUpdate&)> update_read;
    // How long the next watch waits; `MirrorSettings::watch_wait` if not set.
    std::function<Duration()> watch_wait;
    // A read that began at `began` has completed; all changes up to then were
    // delivered.
    std::function<void(TimePoint began)> read_completed;
  };

  KindMirror(boost::asio::io_context& io, StoreCalls& store,
             MirrorSettings settings, Handlers handlers);

  void Start() { List(); }
  // Makes no more calls and drops the responses of those in flight.
  void Stop();
  // Ends a pause, if there is one, and reads the changes now. Does not affect a
  // call in flight.
  void SkipPause();
  // A peer has written a record that has not arrived here. If a watch in flight
  // has already waited for long, its connection is considered silent, and
  // ReadAgain() is called. Has no effect otherwise.
  void RenewWatch();
  // Drops a watch in flight, or ends a pause or the wait for updates from
  // peers, and reads the changes now, so that the result includes all changes
  // made so far. Has no effect during a list or while a retry is scheduled.
  void ReadAgain();
  // Cancels a call in flight and lists again: calls made during the outage may
  // never be answered.
  void OnStoreRegained();
  // Drops any call in flight, ends any pause or scheduled retry, and reads the
  // changes now: a peer advertises a change that has not arrived here, so the
  // watch may be silent. The dropped call keeps its connection, so the read
  // uses another one. Has no effect before the first list or within a second
  // of the previous refresh.
  void Refresh();

  // Whether peers forward what they read. If so, this mirror does not keep a
  // watch of its own.
  void SetReceivesUpdates(bool receives_updates);
  // Applies what a peer has read. If changes before it are missing, reads the
  // store once.
  void OnStoreUpdate(StoreUpdate&& update);

  // Whether a list was ever read.
  bool listed() const noexcept { return listed_; }
  // Whether a recent state was read completely. False after a list that was
  // slow or may be stale, until a watch has returned all changes since then:
  // listing some hundred records takes seconds on a small VM, so the result is
  // that old when it arrives. Not reset when a call fails; see following().
  bool caught_up() const noexcept { return caught_up_; }
  // Whether the last completed call succeeded, i.e. the store is being read
  // without errors. After a slow list, the mirrored state may still be old; see
  // caught_up().
  bool following() const noexcept { return following_; }
  // Version of the newest change seen for an object of this kind.
  uint64_t newest_change() const noexcept { return newest_change_; }

 private:
  void List();
  void OnListed(platform::StoreAnswer&& answer);
  // Lists a large kind.
  void ListPages();
  void ReadPage();
  void OnPage(platform::StoreAnswer&& answer);
  void OnAllPagesRead();
  void ReadHistory();
  bool lists_pages() const noexcept { return settings_.large_kind && listing_; }
  void Watch();
  Duration WatchWait() const;
  // Starts a watch that does not wait; it returns even if nothing has changed.
  void ReadNow();
  void WatchFor(Duration wait);
  void ApplyChange(platform::StoredObject&& object);
  // Pauses before the next read; SkipPause() ends the pause early.
  void Pause();
  void OnWatched(platform::StoreAnswer&& answer);
  // Wraps `handler` so that it ignores the response to a call that has been
  // superseded, for example by Refresh().
  auto IfCurrent(void (KindMirror::*handler)(platform::StoreAnswer&&));
  // Whether the update holds all changes since the mirrored state.
  bool IsContiguous(const StoreUpdate& update) const;
  void SupersedeCall();
  void EndPause();
  void ScheduleAfter(Duration pause, void (KindMirror::*next)());
  void Retry(void (KindMirror::*next)(), const platform::StoreAnswer& answer);

  StoreCalls& store_;
  MirrorSettings settings_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  uint64_t revision_ = 0;
  uint64_t newest_change_ = 0;
  KindDigest digest_;        // of the mirrored state
  uint64_t generation_ = 0;  // counts superseded calls
  uint64_t call_ = 0;        // the latest call to the store
  bool pausing_ = false;
  bool retrying_ = false;  // waits to retry after a failed call
  uint64_t pause_number_ = 0;
  TimePoint call_began_{};
  TimePoint up_to_date_at_{};  // all changes up to then are mirrored
  TimePoint refreshed_at_{};
  ListCursor cursor_;
  TimePoint list_began_{};
  TimePoint history_read_at_{};  // during a list by pages
  bool awaits_first_page_ = false;
  bool listed_ = false;
  bool following_ = false;
  bool caught_up_ = false;
  bool watching_ = false;
  bool listing_ = false;
  bool stopped_ = false;
  bool receives_updates_ = false;
  bool waiting_for_updates_ = false;  // makes no calls until triggered
  bool immediate_read_ = false;       // the watch in flight does not wait
  uint32_t failures_ = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_KIND_MIRROR_H_
