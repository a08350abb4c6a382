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

// Whether a key must stand in the file.
enum class Presence { kOptional, kRequired };

// The keys of one kind of settings file, bound to the fields they fill. The
// same table checks a file as a whole and prints the reference page, so the two
// cannot drift apart. A field's value at the time it is bound is its default.
class Schema {
 public:
  // Commands. `path` is "section.key"; the bound field must outlive Load.
  void Text(std::string path, std::string doc, std::string* field,
            Presence presence = Presence::kOptional);
  // "IP:PORT"; port 0 lets the system choose.
  void Address(std::string path, std::string doc, std::string* field,
               Presence presence = Presence::kOptional);
  void AddressList(std::string path, std::string doc,
                   std::vector<std::string>* field,
                   Presence presence = Presence::kOptional);
  void Millis(std::string path, std::string doc,
              std::chrono::milliseconds* field, int64_t least, int64_t most);
  // A time in seconds; the file may hold a whole number or a fraction.
  void Seconds(std::string path, std::string doc,
               std::chrono::milliseconds* field, double least = 0,
               double most = 86400);
  // A whole number or a fraction.
  void Real(std::string path, std::string unit, std::string doc, double* field,
            double least, double most);
  void Flag(std::string path, std::string doc, bool* field);

  template <typename T>
  void Integer(const std::string& path, const std::string& unit,
               const std::string& doc, T* field, int64_t least, int64_t most) {
    BindInteger(path, unit, doc, static_cast<int64_t>(*field), least, most,
                [field](int64_t value) { *field = static_cast<T>(value); });
  }

  template <typename E>
  void Choice(const std::string& path, const std::string& doc, E* field) {
    std::vector<std::string> names(kEnumNames<E>.begin(), kEnumNames<E>.end());
    BindChoice(
        path, doc, std::string(NameOf(*field)), std::move(names),
        [field](std::string_view name) { *field = *ParseEnum<E>(name); });
  }

  // Reads the file and fills every bound field. Returns everything that is
  // wrong, in the order of the file; the fields hold nothing reliable unless
  // the list is empty. Unknown keys are errors.
  std::vector<SettingError> Load(const std::string& file) const;
  std::vector<SettingError> LoadText(std::string_view text,
                                     const std::string& file) const;

  // Queries. A Markdown table of every key with unit, allowed values, default.
  std::string Reference() const;

 private:
  struct Key;

  void BindInteger(std::string path, std::string unit, std::string doc,
                   int64_t standard, int64_t least, int64_t most,
                   std::function<void(int64_t)> set);
  void BindNumber(std::string path, std::string unit, std::string doc,
                  double standard, double least, double most,
                  std::function<void(double)> set);
  void BindChoice(std::string path, std::string doc, std::string standard,
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
    // False when the value is not allowed.
    std::function<bool(const SettingValue&)> apply;
  };

  std::vector<Key> keys_;
};

}  // namespace knapweedstile::settings

#endif  // KNAPWEEDSTILE_SETTINGS_SCHEMA_H_
