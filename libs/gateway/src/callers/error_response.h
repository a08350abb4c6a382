#ifndef KNAPWEEDSTILE_GATEWAY_ERROR_RESPONSE_H_
#define KNAPWEEDSTILE_GATEWAY_ERROR_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/server_command.h"

namespace knapweedstile::gateway {

// What a caller may conclude about its request from an error.
enum class ExecutionStatus {
  kNotExecuted,    // it provably did not run
  kUnknown,        // it may have run
  kNotApplicable,  // the question does not arise
};

struct ErrorResponse {
  unsigned status = 500;
  std::string_view code;  // stable, for programs
  std::string_view message;
  std::string request_id;
  ExecutionStatus execution = ExecutionStatus::kNotApplicable;
  std::optional<Duration> retry_after;
};

// The answer that carries the error, in the shape of the OpenAI interface.
http::RespondCommand ToCommand(ExchangeId exchange, const ErrorResponse& error);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ERROR_RESPONSE_H_
