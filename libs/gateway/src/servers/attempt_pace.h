#ifndef KNAPWEEDSTILE_GATEWAY_ATTEMPT_PACE_H_
#define KNAPWEEDSTILE_GATEWAY_ATTEMPT_PACE_H_

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "base/traffic_class.h"
#include "serving/pace_sample.h"

namespace knapweedstile::gateway {

// Times the events of one attempt on a backend server.
class AttemptPace {
 public:
  AttemptPace() = default;
  // `queued`: the server had no free slot, so that the time to the first event
  // says nothing about its pace.
  AttemptPace(TrafficClass traffic, bool queued, TimePoint sent_at)
      : traffic_(traffic), queued_(queued), last_at_(sent_at) {}

  // Events have arrived together. None: the times say nothing.
  std::optional<serving::PaceSample> OnEvents(size_t count, TimePoint now) {
    const Duration elapsed = now - last_at_;
    const bool is_first = !has_events_;
    has_events_ = true;
    last_at_ = now;
    if (is_first && queued_) return std::nullopt;
    const auto step =
        is_first ? serving::PaceStep::kFirstEvent : serving::PaceStep::kEvent;
    const auto steps = is_first ? 1 : static_cast<Duration::rep>(count);
    return serving::PaceSample{
        .step = step, .traffic = traffic_, .time = elapsed / steps};
  }
  // The response has ended. None: it had events, or the server had a queue.
  std::optional<serving::PaceSample> OnResponse(TimePoint now) const {
    if (has_events_ || queued_) return std::nullopt;
    return serving::PaceSample{.step = serving::PaceStep::kResponse,
                               .traffic = traffic_,
                               .time = now - last_at_};
  }

 private:
  TrafficClass traffic_ = TrafficClass::kOnline;
  bool queued_ = false;
  bool has_events_ = false;
  TimePoint last_at_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ATTEMPT_PACE_H_
