#include "json_fields.h"

namespace knapweedstile::jobs {

namespace json = boost::json;

std::optional<json::object> ParseObject(std::string_view text) {
  json::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec || !value.is_object()) return std::nullopt;
  return std::move(value.get_object());
}

uint64_t UintOf(const json::value& value) {
  json::error_code ec;
  const auto number = value.to_number<uint64_t>(ec);
  return ec ? 0 : number;
}

uint64_t UintAt(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  return field == nullptr ? 0 : UintOf(*field);
}

int64_t IntAt(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  if (field == nullptr) return 0;
  json::error_code ec;
  const auto number = field->to_number<int64_t>(ec);
  return ec ? 0 : number;
}

std::string TextAt(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  if (field == nullptr || !field->is_string()) return {};
  return std::string(field->get_string());
}

bool BoolAt(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  return field != nullptr && field->is_bool() && field->get_bool();
}

std::vector<uint64_t> UintsAt(const json::object& object,
                              std::string_view name) {
  std::vector<uint64_t> numbers;
  const json::value* field = object.if_contains(name);
  if (field == nullptr || !field->is_array()) return numbers;
  numbers.reserve(field->get_array().size());
  for (const json::value& value : field->get_array()) {
    numbers.push_back(UintOf(value));
  }
  return numbers;
}

const json::object* ObjectAt(const json::object& object,
                             std::string_view name) {
  const json::value* field = object.if_contains(name);
  if (field == nullptr || !field->is_object()) return nullptr;
  return &field->get_object();
}

}  // namespace knapweedstile::jobs
