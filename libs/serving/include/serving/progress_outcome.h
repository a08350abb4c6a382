#ifndef KNAPWEEDSTILE_SERVING_PROGRESS_OUTCOME_H_
#define KNAPWEEDSTILE_SERVING_PROGRESS_OUTCOME_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::serving {

// What became of an update of an item's progress.
enum class ProgressOutcome {
  kApplied,   // it is part of the progress known here, or kept for its job
  kNotKnown,  // it continues an output that is not the one known here
  kDeclined,  // the item is running or finished here, or further than it says
};

}  // namespace knapweedstile::serving

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3>
    kEnumNames<serving::ProgressOutcome> = {"applied", "not_known", "declined"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_SERVING_PROGRESS_OUTCOME_H_
