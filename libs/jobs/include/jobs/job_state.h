#ifndef KNAPWEEDSTILE_JOBS_JOB_STATE_H_
#define KNAPWEEDSTILE_JOBS_JOB_STATE_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::jobs {

enum class JobState { kRunning, kCancelling, kCancelled, kCompleted };

// No item of the job will run or be committed any more.
constexpr bool IsFinal(JobState state) noexcept {
  return state == JobState::kCancelled || state == JobState::kCompleted;
}

}  // namespace knapweedstile::jobs

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4> kEnumNames<jobs::JobState> = {
    "running", "cancelling", "cancelled", "completed"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_JOBS_JOB_STATE_H_
