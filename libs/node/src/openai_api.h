#ifndef KNAPWEEDSTILE_NODE_OPENAI_API_H_
#define KNAPWEEDSTILE_NODE_OPENAI_API_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "api_error.h"
#include "completion_request.h"

namespace knapweedstile::node {

// The OpenAI-compatible forms, as pure functions over text.

// Bounds on max_tokens, from the settings.
struct TokenLimits {
  uint32_t standard = 256;
  uint32_t most = 32768;
};

std::variant<CompletionRequest, ApiError> ParseCompletion(
    CompletionApi api, std::string_view body, const TokenLimits& limits);

// The whole answer of a call that does not stream.
struct CompletionAnswer {
  CompletionApi api = CompletionApi::kCompletions;
  std::string request_id;
  std::string model;
  int64_t created_seconds = 0;
  std::string text;
  std::string finish_reason;
  uint32_t prompt_tokens = 0;
  uint32_t completion_tokens = 0;
};

std::string RenderAnswer(const CompletionAnswer& answer);
// One server-sent event with a piece of text.
std::string RenderChunk(const CompletionAnswer& head, std::string_view text);
// The closing events: finish reason with usage, then [DONE].
std::string RenderStreamEnd(const CompletionAnswer& answer);
// An error after the stream has begun, then the end of the stream.
std::string RenderStreamError(const ApiError& error,
                              std::string_view request_id);

std::string RenderError(const ApiError& error, std::string_view request_id);
std::string RenderModels(const std::vector<std::string>& models);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_OPENAI_API_H_
