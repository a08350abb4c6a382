#include "admission/return_schedule.h"

#include <algorithm>

namespace knapweedstile::admission {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSpan = ArrivalRhythm::kSpan;
constexpr double kMinShare = 1.0 / 6;  // of the caller's time
constexpr double kMaxShare = 1.0 / 3;
// A caller that returns this much before or after its moment does as asked.
constexpr milliseconds kMaxEarly{100};
constexpr milliseconds kMaxLate{800};
// Bounds of the book, and of what a peer may report.
constexpr size_t kMaxPlaces = 4096;
constexpr int64_t kMaxReportedSpans = 64;
// As long as the peer's usage counts.
constexpr milliseconds kPeerLifetime{1500};

int64_t SpanOf(TimePoint at) { return ArrivalRhythm::SpanOf(at); }

TimePoint StartOf(int64_t span) { return TimePoint{} + span * kSpan; }

}  // namespace

double ReturnSchedule::ReturnsIn(int64_t span) const {
  const auto count_in = [span](const Spans& spans) {
    const auto found = spans.find(span);
    return found == spans.end() ? 0U : found->second;
  };
  double sum = count_in(own_);
  for (const auto& [name, peer] : peers_) sum += count_in(peer.spans);
  return sum / static_cast<double>(peers_.size() + 1);
}

double ReturnSchedule::RoomIn(int64_t span, double rate, TimePoint now) {
  const auto arrivals = rhythm_.Expected(StartOf(span), now);
  const double room = arrivals ? rate * ToSeconds(kSpan) - *arrivals : 0;
  return room - ReturnsIn(span);
}

int64_t ReturnSchedule::PickWithRoom(int64_t first, int64_t last, double rate,
                                     TimePoint now) {
  std::vector<double> rooms;
  double total = 0;
  last = std::min(last, first + kMaxReportedSpans);
  for (int64_t span = first; span <= last; ++span) {
    rooms.push_back(std::max(0.0, RoomIn(span, rate, now)));
    total += rooms.back();
  }
  if (total <= 0) return -1;
  double remaining = total * UniformUnit(rng_);
  for (size_t i = 0; i < rooms.size(); ++i) {
    if (remaining < rooms[i]) return first + static_cast<int64_t>(i);
    remaining -= rooms[i];
  }
  return last;
}

int64_t ReturnSchedule::PickSpread(int64_t first, int64_t last, double rate,
                                   TimePoint now) {
  const auto count = static_cast<uint64_t>(last - first + 1);
  const auto a = first + static_cast<int64_t>(UniformBelow(rng_, count));
  const auto b = first + static_cast<int64_t>(UniformBelow(rng_, count));
  return RoomIn(b, rate, now) > RoomIn(a, rate, now) ? b : a;
}

Duration ReturnSchedule::Promise(uint64_t fingerprint, Duration left,
                                 Duration backlog, double rate, TimePoint now) {
  const Duration longest = FromSeconds(ToSeconds(left) * kMaxShare);
  const Duration soonest = std::min(
      longest, std::max(backlog, FromSeconds(ToSeconds(left) * kMinShare)));
  const int64_t first = SpanOf(now + soonest);
  const int64_t last = SpanOf(now + longest);
  int64_t span = -1;
  if (rate > 0 && HasRhythm(now)) {
    span = PickWithRoom(first, last, rate, now);
    const int64_t at_once = SpanOf(now + std::min(backlog, longest));
    if (span < 0 && at_once < first) {
      span = PickWithRoom(at_once, first - 1, rate, now);
    }
  }
  const bool has_room = span >= 0;
  if (!has_room) span = PickSpread(first, last, rate, now);
  const TimePoint at =
      StartOf(span) + FromSeconds(ToSeconds(kSpan) * UniformUnit(rng_));
  const Duration earliest = has_room ? std::min(backlog, longest) : soonest;
  const Duration after = std::clamp(at - now, earliest, longest);
  ++own_[SpanOf(now + after)];
  if (places_.size() < kMaxPlaces) places_[fingerprint] = now + after;
  return after;
}

bool ReturnSchedule::TakeReturn(uint64_t fingerprint, TimePoint now) {
  const auto found = places_.find(fingerprint);
  if (found == places_.end() || now + kMaxEarly < found->second) return false;
  const bool in_time = now <= found->second + kMaxLate;
  places_.erase(found);
  return in_time;
}

PromisedReturns ReturnSchedule::Promised(TimePoint now) {
  const int64_t present = SpanOf(now);
  own_.erase(own_.begin(), own_.lower_bound(present));
  PromisedReturns returns;
  for (const auto& [span, count] : own_) {
    if (span - present >= kMaxReportedSpans) break;
    returns.resize(span - present + 1);
    returns.back() = count;
  }
  return returns;
}

void ReturnSchedule::SetPeerReturns(const std::string& peer,
                                    const PromisedReturns& returns,
                                    TimePoint now) {
  PeerReturns& known = peers_[peer];
  known.expires_at = now + kPeerLifetime;
  known.spans.clear();
  const int64_t present = SpanOf(now);
  const auto count = std::min<int64_t>(kMaxReportedSpans,
                                       static_cast<int64_t>(returns.size()));
  for (int64_t i = 0; i < count; ++i) {
    if (returns[i] > 0) known.spans[present + i] = returns[i];
  }
}

uint32_t ReturnSchedule::Expire(TimePoint now) {
  own_.erase(own_.begin(), own_.lower_bound(SpanOf(now)));
  std::erase_if(peers_,
                [now](const auto& p) { return p.second.expires_at <= now; });
  return static_cast<uint32_t>(std::erase_if(places_, [now](const auto& place) {
    return now > place.second + kMaxLate;
  }));
}

}  // namespace knapweedstile::admission
