#ifndef KNAPWEEDSTILE_JOBS_CLAIM_RECORD_H_
#define KNAPWEEDSTILE_JOBS_CLAIM_RECORD_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "jobs/claim_answer.h"

namespace knapweedstile::jobs {

enum class ClaimState {
  kRunning,   // dispatched, or about to be; the outcome is not known here
  kDone,      // answered; the answer is kept
  kReleased,  // known not to have run: the next sending may run
};

// The value of a `claim` object.
struct ClaimRecord {
  std::string workspace;
  std::string key;
  std::string request_hash;  // tells a resend from another call under the key
  ClaimState state = ClaimState::kRunning;
  std::string writer;  // token of the sending that holds it
  ClaimAnswer answer;  // kDone
};

std::string Encode(const ClaimRecord& record);
std::optional<ClaimRecord> DecodeClaimRecord(std::string_view value);

}  // namespace knapweedstile::jobs

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3> kEnumNames<jobs::ClaimState> =
    {"running", "done", "released"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_JOBS_CLAIM_RECORD_H_
