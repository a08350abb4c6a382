#ifndef KNAPWEEDSTILE_GATEWAY_KIND_MIRROR_H_
#define KNAPWEEDSTILE_GATEWAY_KIND_MIRROR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/store_answer.h"
#include "store/kind_digest.h"
#include "store/store_update.h"

namespace knapweedstile::gateway {

class StoreCalls;

// How a kind is followed.
struct MirrorSettings {
  std::string kind;
  // How long a watch waits: bounds how late a connection that went silent is
  // noticed when neither its keep-alive probes nor another entry shows it. A
  // watch is a call, so shorter costs calls.
  std::chrono::milliseconds watch_wait{4000};
  // Pause between an event and the next watch, so that a burst of changes
  // costs few calls; bounds how late a change is seen.
  std::chrono::milliseconds pause{0};
  // Objects of the kind take megabytes together, which small VMs read for
  // seconds: an answer that takes long is not taken for a store that is away,
  // and what is known is not listed again as long as a watch can go on from it.
  bool large_kind = false;
  // No watch waits: what has changed is read when it is asked for, and after
  // each pause.
  bool on_demand = false;
  // How long the store keeps what has changed.
  std::chrono::milliseconds history_retention{20000};
  // Many pages: the first list may be old, and a read of what has changed since
  // follows it.
  bool stale_first_list = false;
  // Such a list is followed by a pause first: it is good enough for as long.
  bool pause_after_stale_list = false;
  // Whether this mirror finds out that a lost store is back. The others are
  // told and ask seldom by themselves, or an outage would cost each entry
  // several calls a second.
  bool probes_lost_store = false;
};

// Follows all objects of one kind: a list, then watches from its revision.
//
// Failures guarded against: a watch that goes silent (it waits shortly and has
// a deadline), a history that was dropped (listed again, and objects that are
// gone meanwhile show by their absence), a store that is away (asked again with
// growing pauses).
class KindMirror {
 public:
  struct Handlers {
    // Everything that exists, after each list.
    std::function<void(std::vector<platform::StoredObject>&&)> listed;
    std::function<void(platform::StoredObject&&)> changed;
    // What a watch has brought, also when that is nothing; before `changed`.
    std::function<void(const StoreUpdate&)> update_read;
    // A read that began at `began` has brought everything up to then.
    std::function<void(TimePoint began)> read_completed;
  };

  KindMirror(boost::asio::io_context& io, StoreCalls& store,
             MirrorSettings settings, Handlers handlers);

  void Start() { List(); }
  // Makes no call from now on and drops the answers of those in flight.
  void Stop();
  // Ends a pause: what has changed is wanted now.
  void SkipPause();
  // Another entry has written what has not come here: a watch that has waited
  // for long has gone silent, and is made again.
  void RenewWatch();
  // Reads once more what has changed, from now on.
  void ReadAgain();
  // Calls that were made while the store was silent may never be answered, so
  // one in flight is given up and a list made.
  void OnStoreRegained();
  // Reads on a new connection what has changed: another entry knows of a change
  // that has not come here, so the watch may have gone silent.
  void Refresh();

  // Whether other entries pass on what they read: no watch waits here
  // meanwhile.
  void SetReceivesUpdates(bool fed);
  // What another entry has read. Where something is missing before it, the
  // store is read once.
  void OnStoreUpdate(StoreUpdate&& news);

  // Whether a list was ever read.
  bool listed() const noexcept { return revision_ != 0; }
  // Whether what is known is not older than a watch takes. A list of some
  // hundred records takes seconds at a small VM, and is that old when it is
  // there.
  bool caught_up() const noexcept { return caught_up_; }
  // Whether the last call succeeded: what is known is then the present state,
  // but for the time that an event takes.
  bool following() const noexcept { return following_; }
  // The newest change seen of an object of this kind.
  uint64_t newest_change() const noexcept { return newest_change_; }

 private:
  void List();
  void OnListed(platform::StoreAnswer&& answer);
  void Watch();
  // A watch that does not wait: it is answered though nothing has changed.
  void ReadNow();
  void WatchFor(Duration wait);
  void ApplyChange(platform::StoredObject&& object);
  // Until the pause is over or ended.
  void Pause();
  void OnWatched(platform::StoreAnswer&& answer);
  // Whether the answer belongs to a call that Refresh() has overtaken.
  auto IfCurrent(void (KindMirror::*handler)(platform::StoreAnswer&&));
  // Whether the news say all that has happened since what is known here.
  bool IsContiguous(const StoreUpdate& news) const;
  void EndPause();
  void ScheduleAfter(Duration pause, void (KindMirror::*next)());
  void Retry(void (KindMirror::*next)(), const platform::StoreAnswer& answer);

  StoreCalls& store_;
  MirrorSettings settings_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  uint64_t revision_ = 0;
  uint64_t newest_change_ = 0;
  KindDigest digest_;        // of what is known
  uint64_t generation_ = 0;  // of Refresh()
  bool pausing_ = false;
  bool retrying_ = false;  // waits to ask again after a failed call
  uint64_t pause_number_ = 0;
  TimePoint call_began_{};
  TimePoint up_to_date_at_{};  // all that had changed by then is known
  TimePoint refreshed_at_{};
  bool following_ = false;
  bool caught_up_ = false;
  bool watching_ = false;
  bool listing_ = false;
  bool stopped_ = false;
  bool receives_updates_ = false;
  bool waiting_for_updates_ =
      false;  // makes no call until there are news or a reason
  bool immediate_read_ = false;  // the watch in flight does not wait
  uint32_t failures_ = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_KIND_MIRROR_H_
