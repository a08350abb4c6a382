#ifndef KNAPWEEDSTILE_OBJECTS_SELECTOR_H_
#define KNAPWEEDSTILE_OBJECTS_SELECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "objects/labels.h"

namespace knapweedstile::objects {

// Selects objects by their labels. Every condition must hold; a selector
// without conditions selects everything.
struct Selector {
  using ValueLists = std::map<std::string, std::vector<std::string>>;

  Labels match;                     // the label has this value
  ValueLists in;                    // the label has one of these values
  ValueLists not_in;                // the label is absent or has none of these
  std::vector<std::string> exists;  // the label is present
};

bool Matches(const Selector& selector, const Labels& labels);

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_SELECTOR_H_
