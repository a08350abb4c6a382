#include "error_response.h"

#include <algorithm>
#include <string>

#include "admin_api.h"
#include "api_error.h"
#include "caller_identity.h"
#include "openai_api.h"

namespace knapweedstile::node {
namespace {

constexpr uint64_t kMillisPerSecond = 1000;

// Whole seconds, rounded up: coming back early would be refused again.
std::string RetryAfterSeconds(uint64_t millis) {
  const uint64_t seconds = (millis + kMillisPerSecond - 1) / kMillisPerSecond;
  return std::to_string(std::max<uint64_t>(1, seconds));
}

}  // namespace

http::RespondCommand ErrorResponse(ExchangeId exchange,
                                   const CallerIdentity& identity,
                                   const ApiError& error) {
  http::RespondCommand command = JsonResponse(
      exchange, error.status, RenderError(error, identity.request_id));
  command.headers.Add("X-Request-Id", identity.request_id);
  if (error.retry_after_ms) {
    command.headers.Add("Retry-After",
                        RetryAfterSeconds(*error.retry_after_ms));
  }
  return command;
}

}  // namespace knapweedstile::node
