#include "serving/quota_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr uint64_t kLimit = 1200000;
constexpr uint64_t kJob = 5200;  // ten items
const QuotaScope kScope{.route = "r", .workspace = "w"};

struct Scenario {
  size_t gateways = 1;
  int jobs_per_step = 1;  // a step is ten milliseconds
  uint64_t waiting = 0;
  milliseconds delay{5};  // until a job is received and acknowledged
  // Gateway 0 neither receives reports from its peers nor reaches them.
  bool one_partitioned = false;
};

// Tokens accepted in total after a second during which no item finishes.
class Replay {
 public:
  Replay(const Scenario& scenario, bool local_knowledge_only)
      : scenario_(scenario), local_knowledge_only_(local_knowledge_only) {}

  uint64_t Run() {
    std::vector<QuotaLimiter> limiters(scenario_.gateways);
    for (int step = 0; step < 100; ++step) {
      const TimePoint now = kNow + milliseconds(step * 10);
      for (size_t gateway = 0; gateway < scenario_.gateways; ++gateway) {
        limiters[gateway].OnAcknowledged(AcknowledgedBy(gateway, now), now);
      }
      for (int job = 0; job < scenario_.jobs_per_step; ++job) {
        const size_t gateway = static_cast<size_t>(job) % scenario_.gateways;
        Submit(gateway, limiters[gateway], now);
      }
    }
    return scenario_.waiting + accepted_.size() * kJob;
  }

 private:
  struct Accepted {
    TimePoint at{};
    size_t gateway = 0;
    uint64_t number = 0;
  };

  bool Partitioned(size_t gateway) const {
    return scenario_.one_partitioned && gateway == 0;
  }
  bool HasReceived(size_t gateway, const Accepted& job, TimePoint now) const {
    if (job.gateway == gateway) return true;
    return !Partitioned(gateway) && !Partitioned(job.gateway) &&
           job.at + scenario_.delay <= now;
  }
  uint64_t AcknowledgedBy(size_t gateway, TimePoint now) const {
    if (scenario_.one_partitioned) return 0;  // gateway 0 acknowledges nothing
    uint64_t acknowledged = 0;
    for (const Accepted& job : accepted_) {
      const bool known =
          job.gateway == gateway && job.at + scenario_.delay <= now;
      if (known) acknowledged = std::max(acknowledged, job.number);
    }
    return acknowledged;
  }
  void Submit(size_t gateway, QuotaLimiter& limiter, TimePoint now) {
    uint64_t waiting = scenario_.waiting;
    uint64_t number = 1;
    for (const Accepted& job : accepted_) {
      if (HasReceived(gateway, job, now)) waiting += kJob;
      if (job.gateway == gateway) ++number;
    }
    const bool fits =
        local_knowledge_only_
            ? waiting + kJob <= kLimit
            : limiter.Check(kScope, waiting, kJob, kLimit,
                            scenario_.gateways) == QuotaVerdict::kAccept;
    if (!fits) return;
    const std::string job = "job-" + std::to_string(accepted_.size());
    limiter.Reserve(job, kScope, kJob);
    limiter.OnRecordWritten(job, number);
    accepted_.push_back({now, gateway, number});
  }

  Scenario scenario_;
  bool local_knowledge_only_;
  std::vector<Accepted> accepted_;
};

uint64_t AcceptedTokens(const Scenario& scenario) {
  return Replay(scenario, false).Run();
}

constexpr auto kMaxAccepted = static_cast<uint64_t>(kLimit * 1.1);

}  // namespace

// Guards against gateways that each spend the whole remaining quota: hundreds
// of jobs arrive at all gateways at the same moment with the limit nearly
// reached, and each gateway knows only its own.
TEST_CASE("a burst at all gateways stays within limit and overage") {
  for (const size_t gateways : {2, 5, 21}) {
    CAPTURE(gateways);
    const Scenario nearly_full{.gateways = gateways,
                               .jobs_per_step = 40 * static_cast<int>(gateways),
                               .waiting = kLimit * 8 / 10,
                               .delay = milliseconds(30)};
    CHECK(Replay(nearly_full, true).Run() > kMaxAccepted);
    CHECK(AcceptedTokens(nearly_full) <= kMaxAccepted);
    Scenario empty = nearly_full;
    empty.waiting = 0;
    empty.delay = milliseconds(100);
    CHECK(AcceptedTokens(empty) <= kMaxAccepted);
  }
}

// Guards against assuming that peers have received a job: on busy VMs reports
// take one or two seconds instead of some milliseconds, and the limit would be
// exceeded several times over.
TEST_CASE("limit and overage hold however late reports arrive") {
  for (const size_t gateways : {2, 5, 21}) {
    for (const int delay : {150, 400, 2000}) {
      CAPTURE(gateways, delay);
      CHECK(AcceptedTokens({.gateways = gateways,
                            .jobs_per_step = 10 * static_cast<int>(gateways),
                            .waiting = kLimit * 9 / 10,
                            .delay = milliseconds(delay)}) <= kMaxAccepted);
    }
  }
}

// One gateway is partitioned from its peers but still reaches the store and its
// callers. Neither side receives the other's jobs while both accept.
TEST_CASE("a partitioned gateway does not exceed the limit") {
  for (const size_t gateways : {2, 5, 21}) {
    CAPTURE(gateways);
    CHECK(AcceptedTokens({.gateways = gateways,
                          .jobs_per_step = 10 * static_cast<int>(gateways),
                          .waiting = kLimit * 9 / 10,
                          .one_partitioned = true}) <= kMaxAccepted);
  }
}

TEST_CASE("the remaining quota is used up in the end") {
  for (const size_t gateways : {1, 5, 21}) {
    CAPTURE(gateways);
    CHECK(AcceptedTokens({.gateways = gateways,
                          .jobs_per_step = 42,
                          .waiting = kLimit / 2}) > kLimit - 2 * kJob);
  }
}

TEST_CASE("a single job is not rejected because of possible competitors") {
  const QuotaLimiter limiter;
  CHECK(limiter.Check(kScope, kLimit - kJob, kJob, kLimit, 18) ==
        QuotaVerdict::kAccept);
  CHECK(limiter.Check(kScope, kLimit - kJob + 1, kJob, kLimit, 18) ==
        QuotaVerdict::kOverLimit);
  // Even one that is larger than a gateway's share of the overage.
  CHECK(limiter.Check(kScope, 0, kLimit, kLimit, 18) == QuotaVerdict::kAccept);
}

// A write to the store gets no response, so the record may exist. The job
// counts against the share until every gateway has read the store.
TEST_CASE("a job whose write is uncertain still counts") {
  QuotaLimiter limiter;
  limiter.Reserve("job-a", kScope, kLimit / 2);
  limiter.OnWriteUncertain("job-a", kNow + milliseconds(100));
  limiter.OnAcknowledged(100, kNow);
  CHECK(limiter.Check(kScope, 0, kJob, kLimit, 2) == QuotaVerdict::kAwaitPeers);
  limiter.OnAcknowledged(100, kNow + milliseconds(100));
  CHECK(limiter.Check(kScope, 0, kJob, kLimit, 2) == QuotaVerdict::kAccept);
}

}  // namespace knapweedstile::serving
