#ifndef KNAPWEEDSTILE_GATEWAY_ERROR_RESPONSE_H_
#define KNAPWEEDSTILE_GATEWAY_ERROR_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/server_command.h"

namespace knapweedstile::gateway {

// Whether a request that ended with an error was executed.
enum class ExecutionStatus {
  kNotExecuted,    // it was certainly not executed
  kUnknown,        // it may have been executed
  kNotApplicable,  // the error is not about executing a request
};

struct ErrorResponse {
  unsigned status = 500;
  std::string_view code;  // stable, for use by programs
  std::string_view message;
  std::string request_id;
  ExecutionStatus execution = ExecutionStatus::kNotApplicable;
  std::optional<Duration> retry_after;
};

// The response that carries the error, in the format of the OpenAI API.
http::RespondCommand ToCommand(ExchangeId exchange, const ErrorResponse& error);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ERROR_RESPONSE_H_
