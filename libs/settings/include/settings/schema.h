#ifndef KNAPWEEDSTILE_SETTINGS_SCHEMA_H_
#define KNAPWEEDSTILE_SETTINGS_SCHEMA_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "settings/setting_error.h"
#include "settings/setting_value.h"

namespace knapweedstile::settings {

// Whether the file must contain a key.
enum class Presence { kOptional, kRequired };

// The keys of one kind of settings file, bound to the fields that they set. One
// table both validates a file and prints the reference page, so the two cannot
// diverge. A field's value at the time it is bound is its default.
class Schema {
 public:
  // Each binds a key to a field. `path` is "section.key"; the bound field must
  // outlive Load.
  void Text(std::string path, std::string doc, std::string* field,
            Presence presence = Presence::kOptional);
  // "IP:PORT"; port 0 lets the system choose.
  void Address(std::string path, std::string doc, std::string* field,
               Presence presence = Presence::kOptional);
  void AddressList(std::string path, std::string doc,
                   std::vector<std::string>* field,
                   Presence presence = Presence::kOptional);
  void Millis(std::string path, std::string doc,
              std::chrono::milliseconds* field, int64_t min, int64_t max);
  // A time in seconds; the file may contain an integer or a real number.
  void Seconds(std::string path, std::string doc,
               std::chrono::milliseconds* field, double min = 0,
               double max = 86400);
  // An integer or a real number.
  void Real(std::string path, std::string unit, std::string doc, double* field,
            double min, double max);
  void Flag(std::string path, std::string doc, bool* field);

  template <typename T>
  void Integer(const std::string& path, const std::string& unit,
               const std::string& doc, T* field, int64_t min, int64_t max) {
    BindInteger(path, unit, doc, static_cast<int64_t>(*field), min, max,
                [field](int64_t value) { *field = static_cast<T>(value); });
  }

  template <typename E>
  void Choice(const std::string& path, const std::string& doc, E* field) {
    std::vector<std::string> names(kEnumNames<E>.begin(), kEnumNames<E>.end());
    BindChoice(
        path, doc, std::string(NameOf(*field)), std::move(names),
        [field](std::string_view name) { *field = *ParseEnum<E>(name); });
  }

  // Reads the file and sets the bound fields. Returns all errors in the order
  // of the file, then the missing required keys; the fields are valid only if
  // there are none. Unknown keys are errors.
  std::vector<SettingError> Load(const std::string& file) const;
  std::vector<SettingError> LoadText(std::string_view text,
                                     const std::string& file) const;

  // A Markdown table of every key with its unit, allowed values and default.
  std::string Reference() const;

 private:
  struct Key;

  void BindInteger(std::string path, std::string unit, std::string doc,
                   int64_t default_value, int64_t min, int64_t max,
                   std::function<void(int64_t)> set);
  void BindNumber(std::string path, std::string unit, std::string doc,
                  double default_value, double min, double max,
                  std::function<void(double)> set);
  void BindChoice(std::string path, std::string doc, std::string default_value,
                  std::vector<std::string> names,
                  std::function<void(std::string_view)> set);
  const Key* Find(std::string_view path) const;

  struct Key {
    std::string path;
    std::string unit;
    std::string allowed;
    std::string default_value;
    std::string doc;
    Presence presence = Presence::kOptional;
    // Sets the field; returns false if the value is not allowed.
    std::function<bool(const SettingValue&)> apply;
  };

  std::vector<Key> keys_;
};

}  // namespace knapweedstile::settings

#endif  // KNAPWEEDSTILE_SETTINGS_SCHEMA_H_
