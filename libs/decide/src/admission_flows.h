#ifndef KNAPWEEDSTILE_DECIDE_ADMISSION_FLOWS_H_
#define KNAPWEEDSTILE_DECIDE_ADMISSION_FLOWS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace knapweedstile::decide {

// How many requests each flow (workspace, or caller) has at the servers, and
// how many free slots a heavy one must leave to the others.
//
// Load pattern: one flow asks for more than there is, others for little. Fair
// order alone lets the heavy flow take every slot that falls idle for a moment,
// and the next light request waits until one is free again: for seconds when
// the heavy flow's requests are long. Nobody can be cancelled for it, as online
// requests are not preempted.
//
// Rule: a heavy flow leaves free what the others' number is likely to grow by,
// kHeadroomSigmas standard deviations of a Poisson count. A flow that is alone
// uses everything, and among equal flows nobody is heavy.
class AdmissionFlows {
 public:
  // Commands.
  void Start(uint64_t flow);
  void End(uint64_t flow);

  // Queries.
  // Whether the flow has far more there than the others have on average.
  bool IsHeavy(uint64_t flow) const;
  // Free slots that one more request of a heavy flow must leave. `share` is
  // this entry's part of all requests at the servers: the headroom is one for
  // all entries together, so it grows with their number.
  double HeadroomFor(uint64_t flow, double share) const;

 private:
  std::unordered_map<uint64_t, size_t> in_service_;
  size_t total_ = 0;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ADMISSION_FLOWS_H_
