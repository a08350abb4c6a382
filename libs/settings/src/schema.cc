#include "settings/schema.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "settings/setting_error.h"
#include "toml_reader.h"

namespace knapweedstile::settings {
namespace {

constexpr std::string_view kAddressForm = "\"IP:PORT\"";

bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  const std::string host = text.substr(0, colon);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  constexpr unsigned kMaxPort = 65535;
  if (parsed.ec != std::errc() || parsed.ptr != end || port > kMaxPort) {
    return false;
  }
  in_addr v4{};
  if (::inet_pton(AF_INET, host.c_str(), &v4) == 1) return true;
  if (host.size() < 2 || host.front() != '[' || host.back() != ']') {
    return false;
  }
  in6_addr v6{};
  return ::inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6) ==
         1;
}

}  // namespace

std::string SettingError::ToString() const {
  if (line == 0) {
    return fmt::format("{}: {}: is absent; allowed: {}", file, key, allowed);
  }
  return fmt::format("{}:{}: {}: {} is not allowed; allowed: {}", file, line,
                     key, value, allowed);
}

void Schema::Text(std::string path, std::string doc, std::string* field,
                  Presence presence) {
  keys_.push_back({std::move(path), "text", "any text that is not empty",
                   *field, std::move(doc), presence,
                   [field](const SettingValue& value) {
                     if (value.kind != SettingValue::Kind::kText) return false;
                     if (value.text.empty()) return false;
                     *field = value.text;
                     return true;
                   }});
}

void Schema::Address(std::string path, std::string doc, std::string* field,
                     Presence presence) {
  keys_.push_back({std::move(path), "address", std::string(kAddressForm),
                   *field, std::move(doc), presence,
                   [field](const SettingValue& value) {
                     if (value.kind != SettingValue::Kind::kText) return false;
                     if (!IsAddress(value.text)) return false;
                     *field = value.text;
                     return true;
                   }});
}

void Schema::AddressList(std::string path, std::string doc,
                         std::vector<std::string>* field, Presence presence) {
  keys_.push_back(
      {std::move(path), "addresses", fmt::format("a list of {}", kAddressForm),
       "[]", std::move(doc), presence, [field](const SettingValue& value) {
         if (value.kind != SettingValue::Kind::kTextList) return false;
         if (value.list.empty()) return false;
         if (!std::all_of(value.list.begin(), value.list.end(), IsAddress)) {
           return false;
         }
         *field = value.list;
         return true;
       }});
}

void Schema::Millis(std::string path, std::string doc,
                    std::chrono::milliseconds* field, int64_t min,
                    int64_t max) {
  BindInteger(
      std::move(path), "ms", std::move(doc), field->count(), min, max,
      [field](int64_t value) { *field = std::chrono::milliseconds(value); });
}

void Schema::Seconds(std::string path, std::string doc,
                     std::chrono::milliseconds* field, double min, double max) {
  BindNumber(std::move(path), "s", std::move(doc),
             static_cast<double>(field->count()) / 1000, min, max,
             [field](double seconds) {
               *field = std::chrono::milliseconds(
                   static_cast<int64_t>(seconds * 1000));
             });
}

void Schema::Real(std::string path, std::string unit, std::string doc,
                  double* field, double min, double max) {
  BindNumber(std::move(path), std::move(unit), std::move(doc), *field, min, max,
             [field](double value) { *field = value; });
}

void Schema::BindNumber(std::string path, std::string unit, std::string doc,
                        double default_value, double min, double max,
                        std::function<void(double)> set) {
  keys_.push_back({std::move(path), std::move(unit),
                   fmt::format("a number from {} to {}", min, max),
                   fmt::format("{}", default_value), std::move(doc),
                   Presence::kOptional,
                   [=, set = std::move(set)](const SettingValue& value) {
                     double number = 0;
                     if (value.kind == SettingValue::Kind::kInteger) {
                       number = static_cast<double>(value.integer);
                     } else if (value.kind == SettingValue::Kind::kReal) {
                       number = value.real;
                     } else {
                       return false;
                     }
                     if (!(number >= min && number <= max)) return false;
                     set(number);
                     return true;
                   }});
}

void Schema::Flag(std::string path, std::string doc, bool* field) {
  keys_.push_back({std::move(path), "flag", "true or false",
                   *field ? "true" : "false", std::move(doc),
                   Presence::kOptional, [field](const SettingValue& value) {
                     if (value.kind != SettingValue::Kind::kFlag) return false;
                     *field = value.flag;
                     return true;
                   }});
}

void Schema::BindInteger(std::string path, std::string unit, std::string doc,
                         int64_t default_value, int64_t min, int64_t max,
                         std::function<void(int64_t)> set) {
  keys_.push_back({std::move(path), std::move(unit),
                   fmt::format("a whole number from {} to {}", min, max),
                   std::to_string(default_value), std::move(doc),
                   Presence::kOptional,
                   [min, max, set = std::move(set)](const SettingValue& value) {
                     if (value.kind != SettingValue::Kind::kInteger)
                       return false;
                     if (value.integer < min || value.integer > max)
                       return false;
                     set(value.integer);
                     return true;
                   }});
}

void Schema::BindChoice(std::string path, std::string doc,
                        std::string default_value,
                        std::vector<std::string> names,
                        std::function<void(std::string_view)> set) {
  std::string allowed = fmt::format("one of {}", fmt::join(names, ", "));
  keys_.push_back(
      {std::move(path), "name", std::move(allowed), std::move(default_value),
       std::move(doc), Presence::kOptional,
       [names = std::move(names),
        set = std::move(set)](const SettingValue& value) {
         if (value.kind != SettingValue::Kind::kText) return false;
         const auto at = std::find(names.begin(), names.end(), value.text);
         if (at == names.end()) return false;
         set(value.text);
         return true;
       }});
}

const Schema::Key* Schema::Find(std::string_view path) const {
  for (const Key& key : keys_) {
    if (key.path == path) return &key;
  }
  return nullptr;
}

std::vector<SettingError> Schema::Load(const std::string& file) const {
  std::ifstream stream(file);
  if (!stream) {
    return {{file, 1, "(file)", "unreadable", "a readable TOML file"}};
  }
  std::stringstream text;
  text << stream.rdbuf();
  return LoadText(text.str(), file);
}

std::vector<SettingError> Schema::LoadText(std::string_view text,
                                           const std::string& file) const {
  TomlReader reader;
  std::vector<SettingError> errors;
  if (auto error = reader.Parse(text, file)) return {*error};
  std::set<std::string> seen;
  for (const TomlReader::Leaf& leaf : reader.leaves()) {
    seen.insert(leaf.path);
    const Key* key = Find(leaf.path);
    if (key == nullptr) {
      errors.push_back({file, leaf.line, leaf.path, leaf.value_text,
                        "a key that docs/settings.md lists"});
    } else if (!key->apply(leaf.value)) {
      errors.push_back(
          {file, leaf.line, leaf.path, leaf.value_text, key->allowed});
    }
  }
  for (const Key& key : keys_) {
    if (key.presence == Presence::kRequired && !seen.contains(key.path)) {
      errors.push_back({file, 0, key.path, "", key.allowed});
    }
  }
  return errors;
}

std::string Schema::Reference() const {
  std::string page =
      "| key | unit | allowed | default | what it sets |\n"
      "|---|---|---|---|---|\n";
  for (const Key& key : keys_) {
    const std::string default_value =
        key.presence == Presence::kRequired
            ? "required"
            : fmt::format("`{}`", key.default_value);
    page += fmt::format("| `{}` | {} | {} | {} | {} |\n", key.path, key.unit,
                        key.allowed, default_value, key.doc);
  }
  return page;
}

}  // namespace knapweedstile::settings
