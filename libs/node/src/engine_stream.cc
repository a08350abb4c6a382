#include "engine_stream.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace knapweedstile::node {
namespace {

namespace json = boost::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kDone = "[DONE]";
// An engine that never ends an event must not grow memory.
constexpr size_t kMaxEventBytes = 1 << 20;

json::value Parse(std::string_view text) {
  boost::system::error_code error;
  json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  return error ? json::value() : value;
}

// The text of a choice: `text`, or `delta.content` of a chat.
std::string_view TextOf(const json::object& choice) {
  if (const json::value* text = choice.if_contains("text")) {
    if (text->is_string()) return text->get_string();
  }
  const json::value* delta = choice.if_contains("delta");
  if (delta == nullptr || !delta->is_object()) return {};
  const json::value* content = delta->get_object().if_contains("content");
  if (content == nullptr || !content->is_string()) return {};
  return content->get_string();
}

uint32_t PromptTokensOf(const json::object& event) {
  const json::value* usage = event.if_contains("usage");
  if (usage == nullptr || !usage->is_object()) return 0;
  const json::value* tokens = usage->get_object().if_contains("prompt_tokens");
  if (tokens == nullptr || !tokens->is_int64()) return 0;
  return static_cast<uint32_t>(tokens->get_int64());
}

const json::object* FirstChoice(const json::object& event) {
  const json::value* choices = event.if_contains("choices");
  if (choices == nullptr || !choices->is_array()) return nullptr;
  if (choices->get_array().empty()) return nullptr;
  return choices->get_array().front().if_object();
}

}  // namespace

std::string EngineStream::Feed(std::string_view bytes) {
  partial_.append(bytes);
  std::string text;
  size_t begin = 0;
  for (;;) {
    const size_t end = partial_.find(kEventEnd, begin);
    if (end == std::string::npos) break;
    const std::string_view events = partial_;
    TakeEvent(events.substr(begin, end - begin), text);
    begin = end + kEventEnd.size();
  }
  partial_.erase(0, begin);
  if (partial_.size() > kMaxEventBytes) {
    broken_ = true;
    partial_.clear();
  }
  return text;
}

void EngineStream::TakeEvent(std::string_view event, std::string& text) {
  // Comments and other fields of server-sent events carry no output.
  if (!event.starts_with(kDataField)) return;
  const std::string_view data = event.substr(kDataField.size());
  if (data == kDone) return;
  const json::value document = Parse(data);
  const json::object* fields = document.if_object();
  const json::object* choice =
      fields == nullptr ? nullptr : FirstChoice(*fields);
  if (choice == nullptr) {
    broken_ = true;
    return;
  }
  const std::string_view piece = TextOf(*choice);
  if (!piece.empty()) {
    text += piece;
    ++tokens_;
  }
  const json::value* reason = choice->if_contains("finish_reason");
  if (reason != nullptr && reason->is_string()) {
    finish_reason_ = reason->get_string();
    prompt_tokens_ = PromptTokensOf(*fields);
  }
}

std::string EngineBody(std::string_view body, std::string_view resume_text,
                       uint32_t resume_tokens) {
  json::value document = Parse(body);
  json::object* fields = document.if_object();
  if (fields == nullptr) return {};
  (*fields)["stream"] = true;
  if (resume_tokens > 0) {
    (*fields)["resume_text"] = resume_text;
    (*fields)["resume_tokens"] = resume_tokens;
  }
  return json::serialize(document);
}

}  // namespace knapweedstile::node
