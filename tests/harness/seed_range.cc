#include "harness/seed_range.h"

#include <cstdlib>
#include <string>

namespace knapweedstile::harness {

SeedRange SeedsFrom(const char* variable, SeedRange usual) {
  const char* range = std::getenv(variable);
  if (!range) return usual;
  const std::string text = range;
  return {std::stoull(text), std::stoull(text.substr(text.find("..") + 2))};
}

}  // namespace knapweedstile::harness
