#ifndef KNAPWEEDSTILE_SETTINGS_SETTING_ERROR_H_
#define KNAPWEEDSTILE_SETTINGS_SETTING_ERROR_H_

#include <cstdint>
#include <string>

namespace knapweedstile::settings {

// One error in a settings file.
struct SettingError {
  std::string file;
  uint32_t line = 0;    // zero: the key is absent
  std::string key;      // dotted path
  std::string value;    // as in the file; empty if absent
  std::string allowed;  // what is allowed

  // `FILE:LINE: KEY: VALUE is not allowed; allowed: ...`
  std::string ToString() const;
};

}  // namespace knapweedstile::settings

#endif  // KNAPWEEDSTILE_SETTINGS_SETTING_ERROR_H_
