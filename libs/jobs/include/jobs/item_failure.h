#ifndef KNAPWEEDSTILE_JOBS_ITEM_FAILURE_H_
#define KNAPWEEDSTILE_JOBS_ITEM_FAILURE_H_

#include <array>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "jobs/partial_output.h"

namespace knapweedstile::jobs {

enum class ItemFailureKind {
  kPermanent,  // trying again cannot help (the model refuses the request)
  kAttempt,    // it may have run: crash, lost connection, timeout
};

struct ItemFailure {
  ItemFailureKind kind = ItemFailureKind::kAttempt;
  std::string code;     // as the caller reads it
  std::string message;  // for people
  PartialOutput partial;
};

}  // namespace knapweedstile::jobs

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 2>
    kEnumNames<jobs::ItemFailureKind> = {"permanent", "attempt"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_JOBS_ITEM_FAILURE_H_
