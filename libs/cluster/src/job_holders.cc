#include "cluster/job_holders.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::cluster {
namespace {

// Up to this size, a copy of a job at every gateway costs no more than two
// copies and the calls that are forwarded to them.
constexpr size_t kMaxGatewaysHoldingAll = 4;
// A gateway without headroom still gets a small share: its report may be old,
// and all gateways of a zone may be busy.
constexpr double kMinHeadroom = 0.1;
constexpr double kMinProcessorShare = 0.01;
// Bound on a gateway's weight, as a multiple of the sum of the others in its
// zone: at most three quarters of the zone's jobs.
constexpr double kMaxWeightToOthers = 3;

// Weighted rendezvous hashing: the highest score wins, with a probability
// proportional to the weight.
double Score(std::string_view job, const std::string& gateway, double weight) {
  constexpr int kHashBits = 53;
  constexpr int kDroppedBits = 64 - kHashBits;
  const auto hash =
      static_cast<double>(Hash64(gateway, Hash64(job)) >> kDroppedBits);
  const double uniform = (hash + 0.5) * std::ldexp(1.0, -kHashBits);
  return -weight / std::log(uniform);
}

}  // namespace

JobHolders::JobHolders(std::vector<HolderCandidate> candidates) {
  std::map<std::string, double> totals;  // weights by zone
  for (HolderCandidate& candidate : candidates) {
    const double weight =
        std::max(candidate.processor_share, kMinProcessorShare) *
        std::clamp(candidate.headroom, kMinHeadroom, 1.0);
    totals[candidate.availability_zone] += weight;
    if (!candidate.takes_outlines) all_hold_all_ = true;
    gateways_.push_back({std::move(candidate.name),
                         std::move(candidate.availability_zone), weight,
                         candidate.starts_items});
  }
  for (Weighted& gateway : gateways_) {
    const double others = totals[gateway.availability_zone] - gateway.weight;
    if (others > 0) {
      gateway.weight = std::min(gateway.weight, kMaxWeightToOthers * others);
    }
  }
}

template <class Predicate>
const JobHolders::Weighted* JobHolders::Best(std::string_view job,
                                             Predicate may_hold) const {
  const Weighted* best = nullptr;
  double best_score = 0;
  for (const Weighted& gateway : gateways_) {
    if (!may_hold(gateway)) continue;
    const double score = Score(job, gateway.name, gateway.weight);
    const bool tie = best && score == best_score && gateway.name < best->name;
    if (best && score <= best_score && !tie) continue;
    best = &gateway;
    best_score = score;
  }
  return best;
}

template <class Preference, class Predicate>
const JobHolders::Weighted* JobHolders::BestPreferring(
    std::string_view job, Preference prefers, Predicate may_hold) const {
  for (const bool starts_items : {true, false}) {
    const auto is_candidate = [&](const auto& g) {
      return g.starts_items == starts_items && may_hold(g);
    };
    const Weighted* best =
        Best(job, [&](const auto& g) { return is_candidate(g) && prefers(g); });
    if (!best) best = Best(job, is_candidate);
    if (best) return best;
  }
  return nullptr;
}

HolderPair JobHolders::Choose(std::string_view job,
                              std::string_view zone) const {
  if (all_hold_all_ || gateways_.size() <= kMaxGatewaysHoldingAll) return {};
  const Weighted* owner = BestPreferring(
      job, [zone](const auto& g) { return g.availability_zone == zone; },
      [](const auto&) { return true; });
  const Weighted* second = BestPreferring(
      job,
      [owner](const auto& g) {
        return g.availability_zone != owner->availability_zone;
      },
      [owner](const auto& g) { return g.name != owner->name; });
  return {owner->name, second->name};
}

}  // namespace knapweedstile::cluster
