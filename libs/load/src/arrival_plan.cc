#include "load/arrival_plan.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cmath>
#include <string_view>

#include "base/rng.h"
#include "load/load_mix.h"

namespace knapweedstile::load {
namespace {

// Zipf distribution over 0..n-1: weight 1/(rank+1)^skew.
class ZipfDistribution {
 public:
  ZipfDistribution(uint32_t n, double skew) {
    double sum = 0;
    for (uint32_t rank = 0; rank < n; ++rank) {
      sum += 1.0 / std::pow(rank + 1.0, skew);
      cumulative_weights_.push_back(sum);
    }
  }

  uint32_t operator()(Rng& rng) const {
    const double at = UniformUnit(rng) * cumulative_weights_.back();
    return static_cast<uint32_t>(std::upper_bound(cumulative_weights_.begin(),
                                                  cumulative_weights_.end() - 1,
                                                  at) -
                                 cumulative_weights_.begin());
  }

 private:
  std::vector<double> cumulative_weights_;
};

std::string Word(uint64_t number) {
  constexpr uint64_t kVocabularySize = 5000;
  return "w" + std::to_string(number % kVocabularySize);
}

uint32_t UniformBetween(Rng& rng, uint32_t min, uint32_t max) {
  return min + static_cast<uint32_t>(UniformBelow(rng, max - min + 1));
}

// Every prompt contains a word that no other has, so that a response to another
// request is detected.
std::string MakePrompt(const LoadMix& mix, uint32_t prefix_id,
                       uint64_t unique_id, Rng& rng) {
  std::string own_text = "u" + std::to_string(unique_id);
  Rng prefix_rng(prefix_id);
  std::string prefix;
  for (uint32_t i = 0; i < mix.prefix_words; ++i) {
    prefix += Word(prefix_rng()) + ' ';
  }
  const uint32_t own_words =
      UniformBetween(rng, mix.min_unique_words, mix.max_unique_words);
  for (uint32_t i = 0; i < own_words; ++i) own_text += ' ' + Word(rng());
  return prefix + own_text;
}

Arrival DrawArrival(const LoadMix& mix, const ZipfDistribution& prefixes,
                    const ZipfDistribution& workspaces, uint64_t unique_id,
                    Rng& rng) {
  Arrival arrival;
  const bool service =
      !mix.service_path.empty() && UniformUnit(rng) < mix.service_share;
  const bool chat = UniformUnit(rng) < mix.chat_share;
  arrival.kind = service ? ArrivalKind::kService
                 : chat  ? ArrivalKind::kChat
                         : ArrivalKind::kCompletion;
  arrival.stream = UniformUnit(rng) < mix.stream_share;
  arrival.disconnects =
      arrival.stream && UniformUnit(rng) < mix.disconnect_share;
  arrival.max_tokens =
      UniformUnit(rng) < mix.long_share ? mix.long_tokens : mix.short_tokens;
  const uint32_t workspace = workspaces(rng);
  arrival.workspace = "workspace-" + std::to_string(workspace);
  arrival.caller = "caller-" + std::to_string(UniformBelow(rng, 8));
  arrival.prompt = MakePrompt(mix, prefixes(rng), unique_id, rng);
  return arrival;
}

}  // namespace

std::string ExpectedResponse(const Arrival& arrival) {
  std::string response;
  uint32_t words = 0;
  size_t at = 0;
  while (words < arrival.max_tokens && at < arrival.prompt.size()) {
    const size_t end =
        std::min(arrival.prompt.find(' ', at), arrival.prompt.size());
    response.append(arrival.prompt, at, end - at);
    response += ' ';
    ++words;
    at = end + 1;
  }
  return response;
}

std::vector<Arrival> PlanArrivals(const LoadMix& mix) {
  Rng rng(mix.seed);
  const ZipfDistribution prefixes(mix.prompt_prefixes, mix.prefix_skew);
  const ZipfDistribution workspaces(mix.workspaces, mix.workspace_skew);
  std::vector<Arrival> arrivals;
  Duration at{};
  for (;;) {
    at += FromSeconds(-std::log(1.0 - UniformUnit(rng)) /
                      mix.requests_per_second);
    if (at >= mix.length) return arrivals;
    Arrival arrival =
        DrawArrival(mix, prefixes, workspaces, arrivals.size(), rng);
    arrival.at = at;
    arrivals.push_back(std::move(arrival));
  }
}

std::string PlanBatchBody(const LoadMix& mix, uint32_t items,
                          uint32_t max_tokens, uint64_t seed) {
  Rng rng(seed);
  const ZipfDistribution prefixes(mix.prompt_prefixes, mix.prefix_skew);
  std::string body;
  for (uint32_t i = 0; i < items; ++i) {
    const boost::json::value line{
        {"custom_id", "item-" + std::to_string(i)},
        {"body",
         {{"model", mix.model},
          {"prompt", MakePrompt(mix, prefixes(rng), i, rng)},
          {"max_tokens", max_tokens}}}};
    body += boost::json::serialize(line);
    body += '\n';
  }
  return body;
}

}  // namespace knapweedstile::load
