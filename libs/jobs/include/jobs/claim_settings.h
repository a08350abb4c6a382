#ifndef KNAPWEEDSTILE_JOBS_CLAIM_SETTINGS_H_
#define KNAPWEEDSTILE_JOBS_CLAIM_SETTINGS_H_

#include <cstddef>

#include "base/time.h"

namespace knapweedstile::jobs {

struct ClaimSettings {
  Duration call_timeout = std::chrono::seconds(3);
  // How long storing the answer, or releasing the claim, is tried. After that
  // the claim stays as it is and resends are told that the outcome is unknown.
  Duration store_for = std::chrono::seconds(60);
  // Half of what the store takes: bodies that are no text are kept as
  // hexadecimal digits.
  size_t max_body_bytes = 400 << 10;

  // Guards, switched off only for proofs.
  // Off: a claim that another sending holds is taken over.
  bool respect_other_claims = true;
  // Off: after a lost answer the present claim is taken for one's own.
  bool compare_writer = true;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_CLAIM_SETTINGS_H_
