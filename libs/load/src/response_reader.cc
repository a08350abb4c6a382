#include "answer_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace knapweedstile::load {
namespace {

namespace json = boost::json;

const json::value* Field(const json::value* value, std::string_view name) {
  if (value == nullptr || !value->is_object()) return nullptr;
  return value->get_object().if_contains(name);
}

std::string_view TextAt(const json::value* value) {
  if (value == nullptr || !value->is_string()) return {};
  return value->get_string();
}

const json::value* FirstOf(const json::value* list) {
  if (list == nullptr || !list->is_array()) return nullptr;
  return list->get_array().empty() ? nullptr : &list->get_array().front();
}

}  // namespace

void AnswerReader::Feed(std::string_view bytes) {
  buffer_ += bytes;
  if (!stream_) return;
  size_t end = 0;
  while ((end = buffer_.find("\n\n")) != std::string::npos) {
    const std::string text = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    // Behind the event's id, where it has one.
    constexpr std::string_view kData = "data: ";
    const size_t at = text.find(kData);
    if (at == std::string::npos) continue;
    const std::string data = text.substr(at + kData.size());
    if (data == "[DONE]") {
      whole_ = true;
    } else {
      TakeDocument(data);
    }
  }
}

void AnswerReader::End() {
  if (buffer_.empty()) return;
  TakeDocument(buffer_);
  buffer_.clear();
}

void AnswerReader::TakeDocument(std::string_view document) {
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(document.data(), document.size()), error);
  if (error) return;
  if (const json::value* fault = Field(&value, "error")) {
    error_code_ = TextAt(Field(fault, "code"));
    const json::value* flag = Field(fault, "not_run");
    not_run_ = flag != nullptr && flag->is_bool() && flag->get_bool();
    return;
  }
  const json::value* choice = FirstOf(Field(&value, "choices"));
  std::string_view piece = TextAt(Field(choice, "text"));
  if (piece.empty()) {
    piece = TextAt(Field(Field(choice, "delta"), "content"));
  }
  if (piece.empty()) {
    piece = TextAt(Field(Field(choice, "message"), "content"));
  }
  if (!piece.empty()) {
    text_ += piece;
    ++pieces_;
  }
  if (!stream_ && choice != nullptr) whole_ = true;
}

}  // namespace knapweedstile::load
