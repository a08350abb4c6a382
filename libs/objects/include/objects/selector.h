#ifndef KNAPWEEDSTILE_OBJECTS_SELECTOR_H_
#define KNAPWEEDSTILE_OBJECTS_SELECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "objects/labels.h"

namespace knapweedstile::objects {

// Picks objects by their labels. Every condition must hold; a selector without
// conditions picks everything.
struct Selector {
  using ValueLists = std::map<std::string, std::vector<std::string>>;

  Labels match;                     // the label is there with this value
  ValueLists in;                    // ... with one of these values
  ValueLists not_in;                // absent, or with none of these values
  std::vector<std::string> exists;  // the label is there
};

bool Matches(const Selector& selector, const Labels& labels);

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_SELECTOR_H_
