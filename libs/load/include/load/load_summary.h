#ifndef KNAPWEEDSTILE_LOAD_LOAD_SUMMARY_H_
#define KNAPWEEDSTILE_LOAD_LOAD_SUMMARY_H_

#include <array>
#include <cstdint>
#include <vector>

#include "load/call_outcome.h"

namespace knapweedstile::load {

// Exact quantiles of a series in seconds; zero if it is empty.
struct Quantiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double max = 0;
};

Quantiles ComputeQuantiles(std::vector<double> seconds);

struct LoadSummary {
  std::array<uint64_t, 6> calls_by_result{};  // by CallResult
  uint64_t calls = 0;
  uint64_t tokens = 0;
  double seconds = 0;  // from the start of the run to the last response
  Quantiles time_to_first_token;  // of complete streamed responses
  Quantiles complete_response;    // of complete responses
  Quantiles time_to_rejection;    // of rejections
};

LoadSummary Summarize(const std::vector<CallOutcome>& outcomes);

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_LOAD_SUMMARY_H_
