#include "harness/completion.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <sstream>

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

const json::value* Member(const json::value* value, const char* key) {
  return value && value->is_object() ? value->as_object().if_contains(key)
                                     : nullptr;
}

const json::value* FirstChoice(const json::value& body) {
  const json::value* choices = Member(&body, "choices");
  return choices && choices->is_array() && !choices->as_array().empty()
             ? &choices->as_array()[0]
             : nullptr;
}

std::string Text(const json::value* value) {
  return value && value->is_string() ? std::string(value->as_string()) : "";
}

void AddPiece(Completion& completion, const json::value& piece) {
  const json::value* choice = FirstChoice(piece);
  for (const char* part : {"delta", "message"}) {
    completion.text += Text(Member(Member(choice, part), "content"));
  }
  completion.text += Text(Member(choice, "text"));
  const std::string reason = Text(Member(choice, "finish_reason"));
  if (!reason.empty()) completion.finish_reason = reason;
}

std::string FirstWords(const std::string& text, int limit) {
  std::istringstream in(text);
  std::string out;
  std::string word;
  for (int i = 0; i < limit && in >> word; ++i) {
    if (i > 0) out += ' ';
    out += word;
  }
  return out;
}

}  // namespace

Completion FromEvents(const std::string& events) {
  constexpr std::string_view kData = "data: ";
  Completion completion;
  std::istringstream lines(events);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(kData)) continue;
    const std::string data = line.substr(kData.size());
    if (data == "[DONE]") completion.done = true;
    json::error_code ec;
    const json::value piece = json::parse(data, ec);
    if (!ec) AddPiece(completion, piece);
  }
  return completion;
}

Completion FromJson(const std::string& body) {
  Completion completion;
  json::error_code ec;
  const json::value value = json::parse(body, ec);
  if (!ec) AddPiece(completion, value);
  completion.done = !completion.finish_reason.empty();
  return completion;
}

std::string ExpectedText(const std::string& prompt, int max_tokens) {
  return FirstWords(prompt, max_tokens);
}

std::string Joined(const std::string& text) {
  return FirstWords(text, std::numeric_limits<int>::max());
}

std::string CompletionBody(const std::string& model, const std::string& prompt,
                           int max_tokens, bool stream) {
  return json::serialize(json::object{{"model", model},
                                      {"prompt", prompt},
                                      {"max_tokens", max_tokens},
                                      {"stream", stream}});
}

}  // namespace knapweedstile::harness
