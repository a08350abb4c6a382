#include "callers/error_response.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

std::string_view ErrorType(unsigned status) {
  constexpr unsigned kFirstServerError = 500;
  constexpr unsigned kTooManyRequests = 429;
  if (status >= kFirstServerError || status == kTooManyRequests)
    return "overloaded_error";
  return "invalid_request_error";
}

}  // namespace

http::RespondCommand ToCommand(ExchangeId exchange,
                               const ErrorResponse& error) {
  json::object fields = {{"type", ErrorType(error.status)},
                         {"code", error.code},
                         {"message", error.message},
                         {"request_id", error.request_id}};
  if (error.execution == ExecutionStatus::kNotExecuted)
    fields["not_run"] = true;
  if (error.execution == ExecutionStatus::kUnknown)
    fields["outcome"] = "unknown";
  http::RespondCommand command{.exchange = exchange, .status = error.status};
  command.headers.Add("Content-Type", "application/json");
  command.headers.Add("X-Request-Id", error.request_id);
  if (error.retry_after) {
    command.headers.Add("Retry-After",
                        fmt::format("{:.3f}", ToSeconds(*error.retry_after)));
    fields["retry_after_ms"] = ToMillis(*error.retry_after);
  }
  command.body = json::serialize(json::object{{"error", std::move(fields)}});
  return command;
}

}  // namespace knapweedstile::gateway
