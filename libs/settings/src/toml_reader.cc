#include "toml_reader.h"

#include <algorithm>
#include <sstream>

// Header-only, because Debian's shared library is built with exceptions.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 1
#include <toml++/toml.h>

namespace knapweedstile::settings {
namespace {

SettingValue ValueOf(const toml::node& node) {
  using Kind = SettingValue::Kind;
  SettingValue value;
  if (const auto* text = node.as_string()) {
    value.kind = Kind::kText;
    value.text = text->get();
  } else if (const auto* integer = node.as_integer()) {
    value.kind = Kind::kInteger;
    value.integer = integer->get();
  } else if (const auto* real = node.as_floating_point()) {
    value.kind = Kind::kReal;
    value.real = real->get();
  } else if (const auto* flag = node.as_boolean()) {
    value.kind = Kind::kFlag;
    value.flag = flag->get();
  } else if (const auto* array = node.as_array()) {
    value.kind = Kind::kTextList;
    for (const toml::node& element : *array) {
      if (const auto* text = element.as_string()) {
        value.list.push_back(text->get());
      } else {
        value.kind = Kind::kOther;
      }
    }
  }
  return value;
}

std::string ValueTextOf(const toml::node& node) {
  if (const auto* text = node.as_string()) return '"' + text->get() + '"';
  std::ostringstream shown;
  node.visit([&](const auto& typed) { shown << typed; });
  return shown.str();
}

void Collect(const toml::table& table, const std::string& prefix,
             std::vector<TomlReader::Leaf>& leaves) {
  for (const auto& [name, node] : table) {
    const std::string path = prefix + std::string(name.str());
    if (const toml::table* inner = node.as_table()) {
      Collect(*inner, path + ".", leaves);
    } else {
      leaves.push_back(
          {path, node.source().begin.line, ValueTextOf(node), ValueOf(node)});
    }
  }
}

}  // namespace

std::optional<SettingError> TomlReader::Parse(std::string_view text,
                                              const std::string& file) {
  const toml::parse_result result = toml::parse(text, file);
  if (!result) {
    const toml::parse_error& error = result.error();
    return SettingError{file, error.source().begin.line, "(syntax)",
                        std::string(error.description()), "TOML 1.0"};
  }
  Collect(result.table(), "", leaves_);
  std::stable_sort(
      leaves_.begin(), leaves_.end(),
      [](const Leaf& a, const Leaf& b) { return a.line < b.line; });
  return std::nullopt;
}

}  // namespace knapweedstile::settings
