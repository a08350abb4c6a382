#ifndef KNAPWEEDSTILE_JOBS_CLAIM_ANSWER_H_
#define KNAPWEEDSTILE_JOBS_CLAIM_ANSWER_H_

#include <string>
#include <utility>
#include <vector>

namespace knapweedstile::jobs {

// The answer of a plain service, kept to be replayed to a resend.
struct ClaimAnswer {
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;       // any bytes
  bool body_kept = true;  // false: it was too large for the store
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_CLAIM_ANSWER_H_
