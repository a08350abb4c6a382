#include "base/json_text_field.h"

#include <boost/json/basic_parser_impl.hpp>
#include <utility>

namespace knapweedstile {
namespace {

namespace json = boost::json;

// Callbacks of the parser. They keep only the key that is being read, if it may
// be the one that is looked for, and the field's text.
class FieldHandler {
 public:
  // Names that the parser requires.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr size_t max_object_size = SIZE_MAX;
  static constexpr size_t max_array_size = SIZE_MAX;
  static constexpr size_t max_key_size = SIZE_MAX;
  static constexpr size_t max_string_size = SIZE_MAX;
  // NOLINTEND(readability-identifier-naming)

  explicit FieldHandler(std::string_view name) : name_(name) {}
  std::string TakeText() { return std::move(text_); }

  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) { return Open(); }
  bool on_object_end(size_t, json::error_code&) { return Close(); }
  bool on_array_begin(json::error_code&) {
    in_array_ = in_array_ || depth_ == 0;
    return Open();
  }
  bool on_array_end(size_t, json::error_code&) { return Close(); }
  bool on_key_part(json::string_view part, size_t, json::error_code&) {
    return AddKeyPart({part.data(), part.size()});
  }
  bool on_key(json::string_view part, size_t, json::error_code&) {
    AddKeyPart({part.data(), part.size()});
    is_field_ = depth_ == 1 && !in_array_ && key_ == name_;
    if (is_field_) text_.clear();
    key_.clear();
    return true;
  }
  bool on_string_part(json::string_view part, size_t, json::error_code&) {
    return AddText({part.data(), part.size()});
  }
  bool on_string(json::string_view part, size_t, json::error_code&) {
    return AddText({part.data(), part.size()});
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(int64_t, json::string_view, json::error_code&) { return true; }
  bool on_uint64(uint64_t, json::string_view, json::error_code&) {
    return true;
  }
  bool on_double(double, json::string_view, json::error_code&) { return true; }
  bool on_bool(bool, json::error_code&) { return true; }
  bool on_null(json::error_code&) { return true; }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }

 private:
  bool Open() {
    ++depth_;
    return true;
  }
  bool Close() {
    --depth_;
    return true;
  }
  bool AddKeyPart(std::string_view part) {
    if (depth_ == 1 && key_.size() <= name_.size()) key_ += part;
    return true;
  }
  bool AddText(std::string_view part) {
    if (is_field_ && depth_ == 1) text_ += part;
    return true;
  }

  std::string_view name_;
  std::string key_;
  std::string text_;
  int depth_ = 0;
  bool in_array_ = false;
  bool is_field_ = false;  // the value that is read is that of the field
};

}  // namespace

std::string FindJsonTextField(std::string_view document,
                              std::string_view name) {
  json::basic_parser<FieldHandler> parser({}, name);
  json::error_code ec;
  const size_t used =
      parser.write_some(false, document.data(), document.size(), ec);
  if (ec || used != document.size() || !parser.done()) return {};
  return parser.handler().TakeText();
}

}  // namespace knapweedstile
