#ifndef KNAPWEEDSTILE_SETTINGS_SETTING_VALUE_H_
#define KNAPWEEDSTILE_SETTINGS_SETTING_VALUE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedstile::settings {

// A value read from a settings file, independent of the TOML library's types.
struct SettingValue {
  enum class Kind { kText, kInteger, kReal, kFlag, kTextList, kOther };

  Kind kind = Kind::kOther;
  std::string text;
  int64_t integer = 0;
  double real = 0;
  bool flag = false;
  std::vector<std::string> list;
};

}  // namespace knapweedstile::settings

#endif  // KNAPWEEDSTILE_SETTINGS_SETTING_VALUE_H_
