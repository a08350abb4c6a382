#ifndef KNAPWEEDSTILE_NODE_CLAIMED_CALLS_H_
#define KNAPWEEDSTILE_NODE_CLAIMED_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "jobs/claim_answer.h"
#include "jobs/claim_verdict.h"
#include "jobs/claims.h"
#include "prepared_request.h"

namespace knapweedstile::node {

class PlatformCalls;

// The claims of keyed calls that may not be repeated: nothing is dispatched
// before its claim is durable, and a claim is kept until what became of its
// call is stored.
class ClaimedCalls {
 public:
  // The claim's verdict on a call; for kDispatch the call is to be submitted.
  using OnVerdict =
      std::function<void(TimePoint, RequestId, jobs::ClaimVerdict,
                         const jobs::ClaimAnswer& replay, PreparedRequest&&)>;

  ClaimedCalls(PlatformCalls& platform, uint64_t seed, OnVerdict on_verdict);

  // Commands.
  void Begin(TimePoint now, PreparedRequest&& prepared, const std::string& key,
             const std::string& writer);
  // What became of a dispatched call; nothing happens for calls without claim.
  void OnAnswered(TimePoint now, RequestId id, jobs::ClaimAnswer answer);
  void OnNotRun(TimePoint now, RequestId id);
  void OnOutcomeUnknown(TimePoint now, RequestId id);
  void Tick(TimePoint now);

  // Queries.
  bool Holds(RequestId id) const { return claims_.contains(id); }
  size_t size() const noexcept { return claims_.size(); }
  TimePoint NextWake() const;

 private:
  struct Entry {
    jobs::Claim claim;
    PreparedRequest prepared;
    bool judged = false;
  };

  void Pump(TimePoint now, RequestId id);

  PlatformCalls& platform_;
  uint64_t seed_;
  OnVerdict on_verdict_;
  std::map<RequestId, Entry> claims_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_CLAIMED_CALLS_H_
