#include "admission_flows.h"

#include <algorithm>
#include <cmath>

#include "entry_invariant.h"

namespace knapweedstile::decide {
namespace {

// A flow is heavy with more than this many times the others' mean, and this
// many more: one flow of 50 equal ones gets there less than once in 1,000.
constexpr double kHeavyFactor = 3;
constexpr double kHeavyFloor = 4;
// Standard deviations of the others' number kept free.
constexpr double kHeadroomSigmas = 3;
// Share of an entry that has next to nothing in service yet.
constexpr double kLeastShare = 0.05;

}  // namespace

void AdmissionFlows::Start(uint64_t flow) {
  ++in_service_[flow];
  ++total_;
}

void AdmissionFlows::End(uint64_t flow) {
  const auto found = in_service_.find(flow);
  RequireInvariant(found != in_service_.end(), "an ended request was counted");
  if (--found->second == 0) in_service_.erase(found);
  --total_;
}

bool AdmissionFlows::IsHeavy(uint64_t flow) const {
  const auto found = in_service_.find(flow);
  if (found == in_service_.end() || in_service_.size() < 2) return false;
  const double own = static_cast<double>(found->second);
  const double others = static_cast<double>(total_) - own;
  const double flows = static_cast<double>(in_service_.size() - 1);
  return own > kHeavyFactor * others / flows + kHeavyFloor;
}

double AdmissionFlows::HeadroomFor(uint64_t flow, double share) const {
  if (!IsHeavy(flow)) return 0;
  const double others =
      static_cast<double>(total_ - in_service_.find(flow)->second);
  return kHeadroomSigmas * std::sqrt(others / std::max(share, kLeastShare));
}

}  // namespace knapweedstile::decide
