#include "response_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace knapweedstile::load {
namespace {

namespace json = boost::json;

const json::value* Field(const json::value* value, std::string_view name) {
  if (value == nullptr || !value->is_object()) return nullptr;
  return value->get_object().if_contains(name);
}

std::string_view StringValue(const json::value* value) {
  if (value == nullptr || !value->is_string()) return {};
  return value->get_string();
}

const json::value* FirstElement(const json::value* list) {
  if (list == nullptr || !list->is_array()) return nullptr;
  return list->get_array().empty() ? nullptr : &list->get_array().front();
}

}  // namespace

void ResponseReader::Feed(std::string_view bytes) {
  buffer_ += bytes;
  if (!stream_) return;
  size_t end = 0;
  while ((end = buffer_.find("\n\n")) != std::string::npos) {
    const std::string text = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    // The data line may follow the id line of the event.
    constexpr std::string_view kData = "data: ";
    const size_t at = text.find(kData);
    if (at == std::string::npos) continue;
    const std::string data = text.substr(at + kData.size());
    if (data == "[DONE]") {
      complete_ = true;
    } else {
      ParseDocument(data);
    }
  }
}

void ResponseReader::Finish() {
  if (buffer_.empty()) return;
  ParseDocument(buffer_);
  buffer_.clear();
}

void ResponseReader::ParseDocument(std::string_view document) {
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(document.data(), document.size()), error);
  if (error) return;
  if (const json::value* error_object = Field(&value, "error")) {
    error_code_ = StringValue(Field(error_object, "code"));
    const json::value* flag = Field(error_object, "not_run");
    not_run_ = flag != nullptr && flag->is_bool() && flag->get_bool();
    return;
  }
  const json::value* choice = FirstElement(Field(&value, "choices"));
  std::string_view content = StringValue(Field(choice, "text"));
  if (content.empty()) {
    content = StringValue(Field(Field(choice, "delta"), "content"));
  }
  if (content.empty()) {
    content = StringValue(Field(Field(choice, "message"), "content"));
  }
  if (!content.empty()) {
    text_ += content;
    ++content_chunks_;
  }
  if (!stream_ && choice != nullptr) complete_ = true;
}

}  // namespace knapweedstile::load
