#ifndef KNAPWEEDSTILE_LOAD_LOAD_MIX_H_
#define KNAPWEEDSTILE_LOAD_LOAD_MIX_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace knapweedstile::load {

// The online traffic of one experiment. Equal mixes with equal seeds give equal
// arrivals, so two runs differ only in what served them.
struct LoadMix {
  uint64_t seed = 1;
  double per_second = 20;  // Poisson arrivals
  Duration length = std::chrono::seconds(10);
  std::string model;
  double chat_share = 0.5;    // of the completions; the rest is /v1/completions
  double stream_share = 0.8;  // of the completions
  // Prompts: a shared start (a key, skewed by Zipf) and words of their own.
  uint32_t keys = 16;
  double key_skew = 1.0;
  uint32_t shared_words = 40;
  uint32_t own_words_least = 5;
  uint32_t own_words_most = 40;
  // Answers: short ones, and a share of long ones.
  uint32_t short_tokens = 16;
  uint32_t long_tokens = 128;
  double long_share = 0.1;
  uint32_t workspaces = 4;
  double workspace_skew = 1.0;
  // A share of the callers that goes away after its first token.
  double leave_share = 0;
  // Calls of a plain service among the arrivals; empty path: none.
  double service_share = 0;
  std::string service_path;
};

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_LOAD_MIX_H_
