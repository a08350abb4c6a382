#include "admission.h"

#include <algorithm>

namespace knapweedstile::decide {
namespace {

// Weight of the newest service time: the mean follows about 20 answers.
constexpr double kNewestWeight = 0.05;
// Bounds of what a refused client is told: not sooner than a queue turns over,
// not so late that it misses a recovery.
constexpr double kLeastComeBackSeconds = 0.1;
constexpr double kMostComeBackSeconds = 30;

}  // namespace

void Admission::OnServed(Duration in_service) noexcept {
  const double seconds = ToSeconds(in_service);
  if (mean_seconds_in_service_ == 0) {
    mean_seconds_in_service_ = seconds;
    return;
  }
  mean_seconds_in_service_ +=
      kNewestWeight * (seconds - mean_seconds_in_service_);
}

Duration Admission::WaitBehind(double ahead, size_t in_service) const noexcept {
  const double servers = static_cast<double>(std::max<size_t>(in_service, 1));
  return FromSeconds(ahead * mean_seconds_in_service_ / servers);
}

TimePoint Admission::ComeBackAt(TimePoint now, size_t backlog,
                                size_t in_service, Rng& rng) const {
  const Duration wait = WaitBehind(static_cast<double>(backlog), in_service);
  const double seconds =
      std::clamp(ToSeconds(wait), kLeastComeBackSeconds, kMostComeBackSeconds);
  return now + FromSeconds(seconds * (1 + UniformUnit(rng)));
}

}  // namespace knapweedstile::decide
