#ifndef KNAPWEEDSTILE_SETTINGS_SETTING_ERROR_H_
#define KNAPWEEDSTILE_SETTINGS_SETTING_ERROR_H_

#include <cstdint>
#include <string>

namespace knapweedstile::settings {

// One thing wrong in a settings file.
struct SettingError {
  std::string file;
  uint32_t line = 0;    // zero: the key is absent
  std::string key;      // dotted path
  std::string value;    // what was seen, empty when absent
  std::string allowed;  // what would be right

  // `FILE:LINE: KEY: VALUE is not allowed; allowed: ...`
  std::string ToString() const;
};

}  // namespace knapweedstile::settings

#endif  // KNAPWEEDSTILE_SETTINGS_SETTING_ERROR_H_
