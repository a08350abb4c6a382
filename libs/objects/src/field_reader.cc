#include "field_reader.h"

#include <fmt/format.h>

namespace knapweedstile::objects {

namespace {

namespace json = boost::json;

constexpr size_t kMaxShownBytes = 80;

std::string Shown(const json::value* value) {
  if (value == nullptr) return {};
  std::string text = json::serialize(*value);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

}  // namespace

std::string Describe(const FieldErrors& errors) {
  std::string text;
  for (const FieldError& error : errors) {
    if (!text.empty()) text += "; ";
    text += fmt::format("{}: {}, allowed: {}", error.field,
                        error.value.empty() ? "missing" : error.value,
                        error.allowed);
  }
  return text;
}

void FieldReader::Text(std::string_view name, std::string& out) {
  const json::value* value = FindField(name);
  if (value == nullptr) return;
  if (!value->is_string()) return Reject(name, "a string");
  out = std::string(value->get_string());
}

void FieldReader::Int(std::string_view name, int64_t min, int64_t max,
                      int64_t& out) {
  const json::value* value = FindField(name);
  if (value == nullptr) return;
  json::error_code ec;
  const auto number = value->to_number<int64_t>(ec);
  if (ec || value->is_double() || number < min || number > max) {
    return Reject(name, fmt::format("a whole number from {} to {}", min, max));
  }
  out = number;
}

void FieldReader::Real(std::string_view name, double min, double max,
                       double& out) {
  const json::value* value = FindField(name);
  if (value == nullptr) return;
  json::error_code ec;
  const auto number = value->to_number<double>(ec);
  if (ec || !(number >= min && number <= max)) {
    return Reject(name, fmt::format("a number from {} to {}", min, max));
  }
  out = number;
}

void FieldReader::TextList(std::string_view name,
                           std::vector<std::string>& out) {
  const json::value* value = FindField(name);
  if (value != nullptr) TextListAt(*value, PathOf(name), out);
}

void FieldReader::LabelMap(std::string_view name, Labels& out) {
  const json::object* member = FindObject(name);
  if (member == nullptr) return;
  for (const auto& entry : *member) {
    if (entry.value().is_string()) {
      out[std::string(entry.key())] = std::string(entry.value().get_string());
    } else {
      AddError(PathOf(name) + "." + std::string(entry.key()), &entry.value(),
               "a string");
    }
  }
}

void FieldReader::ReadSelector(std::string_view name, Selector& out) {
  if (auto child = Child(name)) {
    child->ReadSelectorFields(out);
    child->RejectUnknownFields();
  }
}

void FieldReader::ReadSelectorFields(Selector& out) {
  LabelMap("match", out.match);
  ValueLists("in", out.in);
  ValueLists("not_in", out.not_in);
  TextList("exists", out.exists);
}

std::optional<FieldReader> FieldReader::Child(std::string_view name) {
  const json::object* member = FindObject(name);
  if (member == nullptr) return std::nullopt;
  return FieldReader(*member, PathOf(name), errors_);
}

const json::object* FieldReader::FindObject(std::string_view name) {
  const json::value* value = FindField(name);
  if (value == nullptr) return nullptr;
  if (value->is_object()) return &value->get_object();
  Reject(name, "an object");
  return nullptr;
}

void FieldReader::Require(std::string_view name) {
  if (!object_.contains(name))
    AddError(PathOf(name), nullptr, "a value; the field is required");
}

void FieldReader::Reject(std::string_view name, std::string allowed) {
  AddError(PathOf(name), object_.if_contains(name), std::move(allowed));
}

void FieldReader::RejectUnknownFields() {
  std::string allowed;
  for (const std::string& name : known_fields_) {
    allowed += allowed.empty() ? name : ", " + name;
  }
  for (const auto& entry : object_) {
    const std::string_view name = entry.key();
    if (known_fields_.contains(name)) continue;
    AddError(PathOf(name), &entry.value(),
             "no such field; valid fields: " + allowed);
  }
}

std::string FieldReader::PathOf(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const json::value* FieldReader::FindField(std::string_view name) {
  known_fields_.emplace(name);
  return object_.if_contains(name);
}

void FieldReader::TextListAt(const json::value& value, const std::string& path,
                             std::vector<std::string>& out) {
  if (!value.is_array()) return AddError(path, &value, "a list of strings");
  const json::array& list = value.get_array();
  for (size_t i = 0; i < list.size(); ++i) {
    if (list[i].is_string()) {
      out.emplace_back(list[i].get_string());
    } else {
      AddError(fmt::format("{}[{}]", path, i), &list[i], "a string");
    }
  }
}

void FieldReader::ValueLists(std::string_view name, Selector::ValueLists& out) {
  const json::object* member = FindObject(name);
  if (member == nullptr) return;
  for (const auto& entry : *member) {
    const std::string key(entry.key());
    TextListAt(entry.value(), PathOf(name) + "." + key, out[key]);
  }
}

void FieldReader::AddError(const std::string& path, const json::value* seen,
                           std::string allowed) {
  errors_.push_back({path, Shown(seen), std::move(allowed)});
}

}  // namespace knapweedstile::objects
