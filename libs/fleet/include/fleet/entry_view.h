#ifndef KNAPWEEDSTILE_FLEET_ENTRY_VIEW_H_
#define KNAPWEEDSTILE_FLEET_ENTRY_VIEW_H_

#include <string>

namespace knapweedstile::fleet {

// An entry as the membership shows it to the spread of configuration.
struct EntryView {
  std::string name;
  std::string availability_zone;
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_ENTRY_VIEW_H_
