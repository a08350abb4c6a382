#ifndef KNAPWEEDSTILE_ADMISSION_RETURN_SCHEDULE_H_
#define KNAPWEEDSTILE_ADMISSION_RETURN_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/arrival_rhythm.h"
#include "base/rng.h"
#include "base/time.h"

namespace knapweedstile::admission {

// Promised returns of one gateway by span of time, from the present one on.
using PromisedReturns = std::vector<uint32_t>;

// The book of the moments for which rejected callers were asked to return. Pure
// logic: the caller passes the time.
//
// Designed for bursts of two to four times the capacity that last for seconds,
// with callers that retry once and wait for some seconds in total. Callers that
// return into the same peak, or all at the same moment, are rejected for good.
// Each rejected caller therefore gets a place in a span of time with room: what
// the slots free then, less the arrivals that the learned rhythm expects, less
// those already promised here and, in equal parts, by the peers, since a caller
// returns at any gateway. Without a rhythm, or without room, callers return
// late in the time they have left, spread by what is promised already. A caller
// would not wait for more than a third of its time.
class ReturnSchedule {
 public:
  explicit ReturnSchedule(uint64_t seed) : rng_(seed) {}

  void OnArrival(TimePoint now) { rhythm_.OnArrival(now); }
  // Time after which the caller is asked to return. `left`: until it gives up;
  // `backlog`: until a slot may be free; `rate`: slots per second that become
  // free, zero if unknown.
  Duration Promise(uint64_t fingerprint, Duration left, Duration backlog,
                   double rate, TimePoint now);
  // Whether the request was rejected by this gateway and returns as asked. A
  // request takes its place once.
  bool TakeReturn(uint64_t fingerprint, TimePoint now);

  // For the peers. Empty: none.
  PromisedReturns Promised(TimePoint now);
  void SetPeerReturns(const std::string& peer, const PromisedReturns& returns,
                      TimePoint now);
  // Forgets callers that did not return here, and peers that are silent;
  // returns how many of the callers.
  uint32_t Expire(TimePoint now);

  size_t open() const noexcept { return places_.size(); }
  // Whether arrivals have a rhythm by which moments with room are chosen.
  bool HasRhythm(TimePoint now) { return rhythm_.Period(now).has_value(); }

 private:
  using Spans = std::map<int64_t, uint32_t>;  // by span of time
  struct PeerReturns {
    Spans spans;
    TimePoint expires_at;
  };

  // Expected returns at this gateway in the span.
  double ReturnsIn(int64_t span) const;
  // Slots left for one more caller in the span; negative: others must yield.
  double RoomIn(int64_t span, double rate, TimePoint now);
  // A span in [first, last], at random by room. Negative: none has room.
  int64_t PickWithRoom(int64_t first, int64_t last, double rate, TimePoint now);
  // The one of two random spans that has more room, or lacks less.
  int64_t PickSpread(int64_t first, int64_t last, double rate, TimePoint now);

  Rng rng_;
  ArrivalRhythm rhythm_;
  Spans own_;
  std::unordered_map<uint64_t, TimePoint> places_;  // by fingerprint
  std::map<std::string, PeerReturns> peers_;
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_RETURN_SCHEDULE_H_
