#ifndef KNAPWEEDSTILE_LOAD_LOAD_MIX_H_
#define KNAPWEEDSTILE_LOAD_LOAD_MIX_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace knapweedstile::load {

// Online traffic of one experiment. Equal mixes yield equal arrivals, so that
// two runs differ only in the system under test. Shares are from 0 to 1.
struct LoadMix {
  uint64_t seed = 1;
  double requests_per_second = 20;  // Poisson arrivals
  Duration length = std::chrono::seconds(10);
  std::string model;
  double chat_share = 0.5;    // of the completions; others: /v1/completions
  double stream_share = 0.8;  // of the completions
  // A prompt is one of `prompt_prefixes` shared prefixes, drawn from a Zipf
  // distribution, and a number of words of its own.
  uint32_t prompt_prefixes = 16;
  double prefix_skew = 1.0;
  uint32_t prefix_words = 40;
  uint32_t min_unique_words = 5;
  uint32_t max_unique_words = 40;
  // Response lengths: short, and a share of long ones.
  uint32_t short_tokens = 16;
  uint32_t long_tokens = 128;
  double long_share = 0.1;
  uint32_t workspaces = 4;
  double workspace_skew = 1.0;
  // Share of the streaming callers that disconnect after the first token.
  double disconnect_share = 0;
  // Share of the arrivals that call a plain service; empty path: none.
  double service_share = 0;
  std::string service_path;
};

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_LOAD_MIX_H_
