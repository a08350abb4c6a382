#include "openai_api.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cctype>

#include "base/hash.h"

namespace knapweedstile::node {
namespace {

namespace json = boost::json;

// Prefix hashes stand at doubling lengths: enough to tell a shared system
// prompt from a shared conversation, and few enough to travel and compare.
constexpr size_t kFirstPrefixBytes = 128;
constexpr size_t kMostPrefixes = 8;

ApiError BadRequest(std::string code, std::string message, std::string param) {
  return {400,
          "invalid_request_error",
          std::move(code),
          std::move(message),
          std::move(param),
          RunTruth::kNotRun,
          std::nullopt};
}

uint32_t CountWords(std::string_view text) {
  uint32_t words = 0;
  bool inside = false;
  for (const char c : text) {
    const bool space = std::isspace(static_cast<unsigned char>(c)) != 0;
    if (!space && !inside) ++words;
    inside = !space;
  }
  return words;
}

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<uint64_t> hashes;
  size_t length = kFirstPrefixBytes;
  while (length <= prompt.size() && hashes.size() < kMostPrefixes) {
    hashes.push_back(Hash64(prompt.substr(0, length)));
    length *= 2;
  }
  return hashes;
}

// The prompt as one text: a chat's roles and contents in order. False when the
// messages are not of the accepted form.
bool AppendMessages(const json::array& messages, std::string& prompt) {
  for (const json::value& message : messages) {
    const json::object* fields = message.if_object();
    if (fields == nullptr) return false;
    const json::value* role = fields->if_contains("role");
    const json::value* content = fields->if_contains("content");
    if (role == nullptr || !role->is_string()) return false;
    if (content == nullptr || !content->is_string()) return false;
    prompt += role->get_string();
    prompt += ": ";
    prompt += content->get_string();
    prompt += '\n';
  }
  return !messages.empty();
}

bool ReadPrompt(CompletionApi api, const json::object& body,
                std::string& prompt) {
  if (api == CompletionApi::kCompletions) {
    const json::value* field = body.if_contains("prompt");
    if (field == nullptr || !field->is_string()) return false;
    prompt = field->get_string();
    return true;
  }
  const json::value* field = body.if_contains("messages");
  return field != nullptr && field->is_array() &&
         AppendMessages(field->get_array(), prompt);
}

// Zero when the field is not an allowed number.
uint32_t ReadMaxTokens(const json::object& body, const TokenLimits& limits) {
  const json::value* field = body.if_contains("max_tokens");
  if (field == nullptr || field->is_null()) return limits.standard;
  if (!field->is_int64()) return 0;
  const int64_t value = field->get_int64();
  if (value < 1 || value > static_cast<int64_t>(limits.most)) return 0;
  return static_cast<uint32_t>(value);
}

json::value UsageOf(const CompletionAnswer& answer) {
  return {{"prompt_tokens", answer.prompt_tokens},
          {"completion_tokens", answer.completion_tokens},
          {"total_tokens", answer.prompt_tokens + answer.completion_tokens}};
}

json::object HeadOf(const CompletionAnswer& answer, std::string_view object) {
  return {{"id", answer.request_id},
          {"object", object},
          {"created", answer.created_seconds},
          {"model", answer.model}};
}

json::value FinishReason(const std::string& reason) {
  return reason.empty() ? json::value(nullptr) : json::value(reason);
}

std::string Event(const json::value& data) {
  return "data: " + json::serialize(data) + "\n\n";
}

json::object ChunkOf(const CompletionAnswer& answer, std::string_view text,
                     bool last) {
  json::object choice{{"index", 0}};
  if (answer.api == CompletionApi::kChatCompletions) {
    json::object delta;
    if (!last) delta["content"] = text;
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] =
      last ? FinishReason(answer.finish_reason) : json::value(nullptr);
  json::object chunk =
      HeadOf(answer, answer.api == CompletionApi::kChatCompletions
                         ? "chat.completion.chunk"
                         : "text_completion");
  chunk["choices"] = json::array{std::move(choice)};
  return chunk;
}

json::object ErrorOf(const ApiError& error, std::string_view request_id) {
  json::object fields{{"type", error.type},
                      {"code", error.code},
                      {"message", error.message},
                      {"param", error.param.empty() ? json::value(nullptr)
                                                    : json::value(error.param)},
                      {"request_id", request_id}};
  if (error.truth == RunTruth::kNotRun) fields["not_run"] = true;
  if (error.truth == RunTruth::kUnknown) fields["outcome"] = "unknown";
  if (error.retry_after_ms) fields["retry_after_ms"] = *error.retry_after_ms;
  return {{"error", std::move(fields)}};
}

}  // namespace

std::variant<CompletionRequest, ApiError> ParseCompletion(
    CompletionApi api, std::string_view body, const TokenLimits& limits) {
  boost::system::error_code error;
  const json::value document =
      json::parse(json::string_view(body.data(), body.size()), error);
  if (error) return BadRequest("invalid_json", error.message(), "");
  const json::object* fields = document.if_object();
  if (fields == nullptr) {
    return BadRequest("invalid_json", "the body is not an object", "");
  }
  CompletionRequest request;
  request.api = api;
  const json::value* model = fields->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return BadRequest("missing_model", "model must be text", "model");
  }
  request.model = model->get_string();
  std::string prompt;
  if (!ReadPrompt(api, *fields, prompt)) {
    const bool chat = api == CompletionApi::kChatCompletions;
    return BadRequest(
        "invalid_prompt",
        chat ? "messages must be a list of {role, content} with text content"
             : "prompt must be text",
        chat ? "messages" : "prompt");
  }
  request.max_tokens = ReadMaxTokens(*fields, limits);
  if (request.max_tokens == 0) {
    return BadRequest(
        "invalid_max_tokens",
        "max_tokens must be from 1 to " + std::to_string(limits.most),
        "max_tokens");
  }
  const json::value* stream = fields->if_contains("stream");
  request.stream = stream != nullptr && stream->is_bool() && stream->get_bool();
  request.prompt_tokens = CountWords(prompt);
  request.prefix_hashes = PrefixHashes(prompt);
  request.fingerprint = HashCombine(Hash64(request.model), Hash64(prompt));
  return request;
}

std::string RenderAnswer(const CompletionAnswer& answer) {
  const bool chat = answer.api == CompletionApi::kChatCompletions;
  json::object choice{{"index", 0},
                      {"finish_reason", FinishReason(answer.finish_reason)}};
  if (chat) {
    choice["message"] =
        json::object{{"role", "assistant"}, {"content", answer.text}};
  } else {
    choice["text"] = answer.text;
  }
  json::object body =
      HeadOf(answer, chat ? "chat.completion" : "text_completion");
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = UsageOf(answer);
  return json::serialize(body);
}

std::string RenderChunk(const CompletionAnswer& head, std::string_view text) {
  return Event(ChunkOf(head, text, false));
}

std::string RenderStreamEnd(const CompletionAnswer& answer) {
  json::object chunk = ChunkOf(answer, "", true);
  chunk["usage"] = UsageOf(answer);
  return Event(chunk) + "data: [DONE]\n\n";
}

std::string RenderStreamError(const ApiError& error,
                              std::string_view request_id) {
  return Event(ErrorOf(error, request_id));
}

std::string RenderError(const ApiError& error, std::string_view request_id) {
  return json::serialize(ErrorOf(error, request_id));
}

std::string RenderModels(const std::vector<std::string>& models) {
  json::array list;
  for (const std::string& model : models) {
    list.push_back(json::object{
        {"id", model}, {"object", "model"}, {"owned_by", "knapweedstile"}});
  }
  return json::serialize(
      json::object{{"object", "list"}, {"data", std::move(list)}});
}

}  // namespace knapweedstile::node
