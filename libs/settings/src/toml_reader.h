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

// Reads TOML into a flat list of values with their lines. Only this class uses
// the TOML library.
class TomlReader {
 public:
  struct Leaf {
    std::string path;
    uint32_t line = 0;
    std::string value_text;  // as written, for error messages
    SettingValue value;
  };

  // Returns an error if the text is not valid TOML.
  std::optional<SettingError> Parse(std::string_view text,
                                    const std::string& file);
  const std::vector<Leaf>& leaves() const noexcept { return leaves_; }

 private:
  std::vector<Leaf> leaves_;
};

}  // namespace knapweedstile::settings

#endif  // KNAPWEEDSTILE_SETTINGS_TOML_READER_H_
