#include "http/header_list.h"

#include <boost/beast/core/string.hpp>

namespace knapweedstile::http {

std::string_view HeaderList::Find(std::string_view name) const noexcept {
  for (const auto& [key, value] : fields_) {
    if (boost::beast::iequals({key.data(), key.size()},
                              {name.data(), name.size()})) {
      return value;
    }
  }
  return {};
}

}  // namespace knapweedstile::http
