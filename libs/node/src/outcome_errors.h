#ifndef KNAPWEEDSTILE_NODE_OUTCOME_ERRORS_H_
#define KNAPWEEDSTILE_NODE_OUTCOME_ERRORS_H_

#include <string>

#include "api_error.h"
#include "base/time.h"
#include "decide/attempt_outcome.h"
#include "decide/refusal.h"

namespace knapweedstile::node {

// The answer to a request that did not run.
ApiError ErrorOfRefusal(const decide::Refusal& refusal, TimePoint now);
// The answer to a request that may have run.
ApiError ErrorOfFailure(decide::AttemptOutcome outcome,
                        const std::string& message);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_OUTCOME_ERRORS_H_
