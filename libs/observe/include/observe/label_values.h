#ifndef KNAPWEEDSTILE_OBSERVE_LABEL_VALUES_H_
#define KNAPWEEDSTILE_OBSERVE_LABEL_VALUES_H_

#include <string>
#include <vector>

namespace knapweedstile::observe {

// The values of a series' labels, in the order of the family's label names.
using LabelValues = std::vector<std::string>;

}  // namespace knapweedstile::observe

#endif  // KNAPWEEDSTILE_OBSERVE_LABEL_VALUES_H_
