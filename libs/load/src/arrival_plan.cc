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

// Draws 0..n-1 with weight 1/(rank+1)^skew.
class ZipfDraw {
 public:
  ZipfDraw(uint32_t n, double skew) {
    double sum = 0;
    for (uint32_t rank = 0; rank < n; ++rank) {
      sum += 1.0 / std::pow(rank + 1.0, skew);
      upper_.push_back(sum);
    }
  }

  uint32_t operator()(Rng& rng) const {
    const double at = UniformUnit(rng) * upper_.back();
    return static_cast<uint32_t>(
        std::upper_bound(upper_.begin(), upper_.end() - 1, at) -
        upper_.begin());
  }

 private:
  std::vector<double> upper_;
};

std::string Word(uint64_t number) {
  constexpr uint64_t kWords = 5000;
  return "w" + std::to_string(number % kWords);
}

uint32_t Between(Rng& rng, uint32_t least, uint32_t most) {
  return least + static_cast<uint32_t>(UniformBelow(rng, most - least + 1));
}

// Every prompt ends with a word that no other has, so that an answer which
// belongs to another request is seen.
std::string MakePrompt(const LoadMix& mix, uint32_t key, uint64_t unique,
                       Rng& rng) {
  std::string prompt = "u" + std::to_string(unique);
  Rng shared(key);
  std::string start;
  for (uint32_t i = 0; i < mix.shared_words; ++i) {
    start += Word(shared()) + ' ';
  }
  const uint32_t own = Between(rng, mix.own_words_least, mix.own_words_most);
  for (uint32_t i = 0; i < own; ++i) prompt += ' ' + Word(rng());
  return start + prompt;
}

Arrival DrawArrival(const LoadMix& mix, const ZipfDraw& keys,
                    const ZipfDraw& workspaces, uint64_t unique, Rng& rng) {
  Arrival arrival;
  const bool service =
      !mix.service_path.empty() && UniformUnit(rng) < mix.service_share;
  const bool chat = UniformUnit(rng) < mix.chat_share;
  arrival.kind = service ? ArrivalKind::kService
                 : chat  ? ArrivalKind::kChat
                         : ArrivalKind::kCompletion;
  arrival.stream = UniformUnit(rng) < mix.stream_share;
  arrival.leaves = arrival.stream && UniformUnit(rng) < mix.leave_share;
  arrival.max_tokens =
      UniformUnit(rng) < mix.long_share ? mix.long_tokens : mix.short_tokens;
  const uint32_t workspace = workspaces(rng);
  arrival.workspace = "workspace-" + std::to_string(workspace);
  arrival.caller = "caller-" + std::to_string(UniformBelow(rng, 8));
  arrival.prompt = MakePrompt(mix, keys(rng), unique, rng);
  return arrival;
}

}  // namespace

std::string ExpectedAnswer(const Arrival& arrival) {
  std::string answer;
  uint32_t words = 0;
  size_t at = 0;
  while (words < arrival.max_tokens && at < arrival.prompt.size()) {
    const size_t end =
        std::min(arrival.prompt.find(' ', at), arrival.prompt.size());
    answer.append(arrival.prompt, at, end - at);
    answer += ' ';
    ++words;
    at = end + 1;
  }
  return answer;
}

std::vector<Arrival> PlanArrivals(const LoadMix& mix) {
  Rng rng(mix.seed);
  const ZipfDraw keys(mix.keys, mix.key_skew);
  const ZipfDraw workspaces(mix.workspaces, mix.workspace_skew);
  std::vector<Arrival> arrivals;
  Duration at{};
  for (;;) {
    at += FromSeconds(-std::log(1.0 - UniformUnit(rng)) / mix.per_second);
    if (at >= mix.length) return arrivals;
    Arrival arrival = DrawArrival(mix, keys, workspaces, arrivals.size(), rng);
    arrival.at = at;
    arrivals.push_back(std::move(arrival));
  }
}

std::string PlanBatchBody(const LoadMix& mix, uint32_t items,
                          uint32_t max_tokens, uint64_t seed) {
  Rng rng(seed);
  const ZipfDraw keys(mix.keys, mix.key_skew);
  std::string body;
  for (uint32_t i = 0; i < items; ++i) {
    const boost::json::value line{
        {"custom_id", "item-" + std::to_string(i)},
        {"body",
         {{"model", mix.model},
          {"prompt", MakePrompt(mix, keys(rng), i, rng)},
          {"max_tokens", max_tokens}}}};
    body += boost::json::serialize(line);
    body += '\n';
  }
  return body;
}

}  // namespace knapweedstile::load
