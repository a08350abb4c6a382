#ifndef KNAPWEEDSTILE_SETTINGS_TOML_READER_H_
#define KNAPWEEDSTILE_SETTINGS_TOML_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/setting_error.h"
#include "settings/setting_value.h"

namespace knapweedstile::settings {

// Reads TOML into a flat list of leaves with their lines; the only user of the
// TOML library.
class TomlReader {
 public:
  struct Leaf {
    std::string path;
    uint32_t line = 0;
    std::string value_text;  // the value as text, for errors
    SettingValue value;
  };

  // An error when the text is not TOML.
  std::optional<SettingError> Parse(std::string_view text,
                                    const std::string& file);
  const std::vector<Leaf>& leaves() const noexcept { return leaves_; }

 private:
  std::vector<Leaf> leaves_;
};

}  // namespace knapweedstile::settings

#endif  // KNAPWEEDSTILE_SETTINGS_TOML_READER_H_
