#include "outcome_errors.h"

#include <string_view>

namespace knapweedstile::node {
namespace {

using decide::AttemptOutcome;
using decide::RefusalReason;

struct RefusalForm {
  unsigned status;
  std::string_view type;
  std::string_view message;
};

RefusalForm FormOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return {503, "overloaded_error", "too many requests are waiting"};
    case RefusalReason::kFairShare:
      return {429, "rate_limit_error",
              "this workspace or caller has too many requests waiting"};
    case RefusalReason::kDeadline:
      return {503, "overloaded_error",
              "the request cannot be answered within its deadline"};
    case RefusalReason::kNoBackendServer:
      return {503, "overloaded_error", "no backend server is in"};
    case RefusalReason::kQuarantined:
      return {422, "invalid_request_error",
              "this request has made backend servers crash and is quarantined"};
    case RefusalReason::kDraining:
      return {503, "overloaded_error", "this server is leaving"};
    case RefusalReason::kRetriesExhausted:
      return {503, "overloaded_error", "every backend server refused"};
  }
  return {503, "overloaded_error", "refused"};
}

}  // namespace

ApiError ErrorOfRefusal(const decide::Refusal& refusal, TimePoint now) {
  const RefusalForm form = FormOf(refusal.reason);
  ApiError error;
  error.status = form.status;
  error.type = form.type;
  error.code = NameOf(refusal.reason);
  error.message = form.message;
  error.truth = RunTruth::kNotRun;
  error.retry_after_ms =
      static_cast<uint64_t>(ToMillis(Remaining(refusal.come_back_at, now)));
  return error;
}

ApiError ErrorOfFailure(AttemptOutcome outcome, const std::string& message) {
  ApiError error;
  constexpr unsigned kBadGateway = 502;
  constexpr unsigned kGatewayTimeout = 504;
  error.status =
      outcome == AttemptOutcome::kTimeout ? kGatewayTimeout : kBadGateway;
  error.type = "server_error";
  error.code = NameOf(outcome);
  error.message = message.empty() ? "the backend server was lost" : message;
  error.truth = RunTruth::kUnknown;
  return error;
}

}  // namespace knapweedstile::node
