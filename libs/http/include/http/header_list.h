#ifndef KNAPWEEDSTILE_HTTP_HEADER_LIST_H_
#define KNAPWEEDSTILE_HTTP_HEADER_LIST_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedstile::http {

// Header fields in insertion order; names are case-insensitive.
class HeaderList {
 public:
  void Add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
  }
  // The value of the first field called `name`; empty when there is none.
  std::string_view Find(std::string_view name) const noexcept;
  const std::vector<std::pair<std::string, std::string>>& fields()
      const noexcept {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_HEADER_LIST_H_
