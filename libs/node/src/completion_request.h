#ifndef KNAPWEEDSTILE_NODE_COMPLETION_REQUEST_H_
#define KNAPWEEDSTILE_NODE_COMPLETION_REQUEST_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"

namespace knapweedstile::node {

// Which of the two OpenAI-compatible calls a request came by.
enum class CompletionApi { kCompletions, kChatCompletions };

// What the system reads of a completion request; the body itself travels on
// untouched.
struct CompletionRequest {
  CompletionApi api = CompletionApi::kCompletions;
  std::string model;
  bool stream = false;
  uint32_t max_tokens = 0;
  uint32_t prompt_tokens = 0;           // estimated: words
  std::vector<uint64_t> prefix_hashes;  // shortest first
  uint64_t fingerprint = 0;
};

}  // namespace knapweedstile::node

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 2>
    kEnumNames<node::CompletionApi> = {"/v1/completions",
                                       "/v1/chat/completions"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_NODE_COMPLETION_REQUEST_H_
