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

namespace knapweedstile::gateway {

class StoreCalls;

// How a kind is followed.
struct MirrorSettings {
  std::string kind;
  // How long a watch waits: bounds how late a connection that went silent is
  // noticed. A watch is a call, so shorter costs calls.
  std::chrono::milliseconds watch_wait{2000};
  // Pause between an event and the next watch, so that a burst of changes
  // costs few calls; bounds how late a change is seen.
  std::chrono::milliseconds pause{0};
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
  };

  KindMirror(boost::asio::io_context& io, StoreCalls& store,
             MirrorSettings settings, Handlers handlers);

  void Start() { List(); }

  // Whether a list was ever read.
  bool listed() const noexcept { return revision_ != 0; }
  // Whether the last call succeeded: what is known is then the present state,
  // but for the time that an event takes.
  bool following() const noexcept { return following_; }

 private:
  void List();
  void OnListed(platform::StoreAnswer&& answer);
  void Watch();
  void OnWatched(platform::StoreAnswer&& answer);
  void After(Duration pause, void (KindMirror::*next)());
  void Retry(void (KindMirror::*next)(), const platform::StoreAnswer& answer);

  StoreCalls& store_;
  MirrorSettings settings_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  uint64_t revision_ = 0;
  bool following_ = false;
  uint32_t failures_ = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_KIND_MIRROR_H_
