#ifndef KNAPWEEDSTILE_LOAD_LOAD_SUMMARY_H_
#define KNAPWEEDSTILE_LOAD_LOAD_SUMMARY_H_

#include <array>
#include <cstdint>
#include <vector>

#include "load/call_outcome.h"

namespace knapweedstile::load {

// Exact quantiles of one series, in seconds; zero when it is empty.
struct Quantiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double most = 0;
};

Quantiles QuantilesOf(std::vector<double> seconds);

struct LoadSummary {
  std::array<uint64_t, 6> ends{};  // by CallEnd
  uint64_t calls = 0;
  uint64_t tokens = 0;
  double seconds = 0;       // from the first arrival to the last answer
  Quantiles first_token;    // of whole answers that were streamed
  Quantiles whole_answer;   // of whole answers
  Quantiles refused_after;  // how fast refusals came
};

LoadSummary Summarize(const std::vector<CallOutcome>& outcomes);

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_LOAD_SUMMARY_H_
