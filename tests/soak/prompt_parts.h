#ifndef KNAPWEEDSTILE_SOAK_PROMPT_PARTS_H_
#define KNAPWEEDSTILE_SOAK_PROMPT_PARTS_H_

#include <string>
#include <string_view>

#include "base/rng.h"

namespace knapweedstile::soak {

// Names the parts of prompts in requests and items.
inline constexpr char kPromptHeader[] = "Prompt-Prefix";

// Draws up to three parts that many prompts share, most of them a few common
// ones. Each part is followed by a comma.
std::string DrawSharedParts(Rng& rng);

// A part that belongs to `owner` and to what shares its name.
std::string PartOf(std::string_view owner);

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_PROMPT_PARTS_H_
