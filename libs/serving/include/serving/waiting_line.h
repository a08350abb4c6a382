#ifndef KNAPWEEDSTILE_SERVING_WAITING_LINE_H_
#define KNAPWEEDSTILE_SERVING_WAITING_LINE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"

namespace knapweedstile::serving {

// Online requests that wait here for slots that nobody who can be in time
// needs. No network, clock or thread.
//
// Load pattern: bursts that are longer than callers can be put off for. Those
// that return into the burst cannot be in time any more, but their callers wait
// for seconds yet, and slots stand free as soon as the peak is over. Turned
// away they are lost; sent to a server's queue they delay, in its order of
// arrival, the requests that can be in time.
//
// The line is bounded by what the slots can take before those in it would have
// waited too long: beyond that waiting would be in vain, and is not begun.
class WaitingLine {
 public:
  // False when `most` requests for the service wait already.
  bool Join(const std::string& service, ExchangeId caller, TimePoint leave_by,
            size_t most);
  // The one that has to leave first; it leaves the line.
  std::optional<ExchangeId> TakeNext(const std::string& service);
  void Leave(ExchangeId caller);
  // Those whose time has come; they leave the line.
  std::vector<ExchangeId> TakeExpired(TimePoint now);

  std::vector<std::string> Services() const;
  size_t size() const noexcept { return places_.size(); }

 private:
  using Line = std::multimap<TimePoint, ExchangeId>;

  struct Place {
    std::string service;
    TimePoint leave_by{};
  };

  std::map<std::string, Line> lines_;  // by service
  std::map<ExchangeId, Place> places_;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_WAITING_LINE_H_
