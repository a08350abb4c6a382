#include "router_pace.h"

#include <algorithm>

namespace knapweedstile::decide {
namespace {

// Weight of the newest answer: the mean follows about the last five.
constexpr double kNewestWeight = 0.2;
// Answers before a server is judged or counted as a peer.
constexpr uint32_t kLeastAnswers = 5;
// Slower than usual by this factor is slow. Prompts of one target differ by
// less once five of them are averaged; bench/entry_bench (slow server, hot
// key).
constexpr double kSlowFactor = 2.5;
// A healthy server is late once in twenty, so four in a row happen to it once
// in 160,000 requests.
constexpr uint32_t kLateInRow = 4;
// First hold-off and its bound; it doubles while probes stay slow, so that a
// server slow for good costs one request a minute.
constexpr Duration kFirstHoldOff = std::chrono::seconds(5);
constexpr Duration kLongestHoldOff = std::chrono::seconds(60);
// Probes answered at a normal pace before the server is back.
constexpr uint32_t kProbes = 3;

}  // namespace

void RouterPace::OnFirstOutput(TimePoint now, Duration after,
                               std::optional<double> usual_seconds,
                               bool may_eject) {
  const double seconds = ToSeconds(after);
  late_in_row_ = 0;
  const bool slow_answer =
      usual_seconds && seconds > kSlowFactor * *usual_seconds;
  if (probing()) {
    if (slow_answer) {
      Eject(now);
    } else if (--probes_left_ == 0) {
      hold_off_ = Duration::zero();
    }
    return;
  }
  ++answers_;
  mean_seconds_ +=
      (answers_ == 1 ? 1 : kNewestWeight) * (seconds - mean_seconds_);
  const bool slow = answers_ >= kLeastAnswers && usual_seconds &&
                    mean_seconds_ > kSlowFactor * *usual_seconds;
  if (slow && slow_answer && may_eject) Eject(now);
}

void RouterPace::OnLate(TimePoint now, bool may_eject) {
  ++late_in_row_;
  if (Ejected(now)) return;
  if (probing() || (late_in_row_ >= kLateInRow && may_eject)) Eject(now);
}

std::optional<double> RouterPace::mean_seconds() const noexcept {
  if (answers_ < kLeastAnswers || probing()) return std::nullopt;
  return mean_seconds_;
}

void RouterPace::Eject(TimePoint now) noexcept {
  hold_off_ = std::clamp(2 * hold_off_, kFirstHoldOff, kLongestHoldOff);
  ejected_until_ = now + hold_off_;
  probes_left_ = kProbes;
  answers_ = 0;
  late_in_row_ = 0;
}

}  // namespace knapweedstile::decide
