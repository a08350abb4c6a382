#include "soak_run.h"

#include <fmt/format.h>

#include <utility>

#include "base/clock.h"
#include "batch_judge.h"
#include "fault_plan.h"
#include "online_judge.h"
#include "workspace_judge.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
// A step that comes later shows that the test's own thread had to wait: what
// callers measured then says nothing about the product.
constexpr milliseconds kLateStep{150};
// After the last fault: for views, time-outs and restarts to settle.
constexpr milliseconds kSettle{9000};
// Then every item must be listed within this.
constexpr std::chrono::seconds kFinish{45};
constexpr milliseconds kReadAllPause{1000};
constexpr milliseconds kProbePause{25};

}  // namespace

SoakRun::SoakRun(uint64_t seed, const SoakSize& size, milliseconds slack)
    : seed_(seed),
      slack_(slack),
      size_(size),
      site_(size, findings_),
      online_(site_, seed + 1, size.requests_per_second),
      batch_(site_, seed + 2, findings_),
      driver_(site_, batch_, MakeFaultPlan(seed, size)) {}

void SoakRun::Step(TimePoint now) {
  if (stepped_at_ != TimePoint{} && now - stepped_at_ > kLateStep) {
    ++late_steps_;
    site_.disturbances().Add("", stepped_at_, now);
  }
  stepped_at_ = now;
  site_.Run(now);
  batch_.Run(now);
}

void SoakRun::RunUntil(TimePoint end, bool faults) {
  while (stepped_at_ < end) {
    site_.site().caller().RunFor(kStep);
    const TimePoint now = MonotonicNow();
    if (faults) {
      driver_.Run(std::chrono::duration_cast<milliseconds>(now - began_at_),
                  now);
    }
    Step(now);
    online_.Run(now);
  }
}

void SoakRun::Settle() {
  driver_.Heal(MonotonicNow());
  RunUntil(MonotonicNow() + kSettle, false);
}

// All is well again: every gateway serves each kind of request. One gateway
// after another: hundreds of requests in one moment are more than the servers
// have slots, and some are rightly refused.
void SoakRun::Probe() {
  probes_from_ = online_.requests().size();
  for (const std::string& gateway : site_.gateways()) {
    online_.Probe(gateway, MonotonicNow());
    site_.site().caller().RunFor(kProbePause);
    Step(MonotonicNow());
    online_.Collect(MonotonicNow());
  }
}

void SoakRun::Finish() {
  batch_.StopSubmitting();
  const TimePoint limit = MonotonicNow() + kFinish;
  TimePoint read_at{};
  while (MonotonicNow() < limit) {
    site_.site().caller().RunFor(kStep);
    const TimePoint now = MonotonicNow();
    Step(now);
    online_.Collect(now);
    if (batch_.AllListed() && online_.open() == 0) break;
    if (now - read_at < kReadAllPause) continue;
    read_at = now;
    batch_.ReadAll(site_.gateways().front(), now);
  }
  // The same results at every gateway.
  for (const std::string& gateway : site_.gateways()) {
    batch_.ReadAll(gateway, MonotonicNow());
  }
  const TimePoint end = MonotonicNow() + kFinish;
  while (batch_.open() > 0 && MonotonicNow() < end) {
    site_.site().caller().RunFor(kStep);
    Step(MonotonicNow());
  }
}

void SoakRun::Judge() {
  const RunIndex runs = site_.Runs();
  OnlineJudge online(runs, site_.disturbances(), site_.operations(),
                     SoakSite::kEvents, slack_, findings_);
  online.Judge(online_.requests());
  WorkspaceJudge workspaces(runs, site_.disturbances(), site_.operations(),
                            slack_, findings_);
  workspaces.Judge(online_.requests());
  BatchJudge batch(runs, site_.disturbances(), site_.operations(),
                   SoakSite::kEvents, slack_, findings_);
  batch.Judge(batch_.jobs());
  for (size_t i = probes_from_; i < online_.requests().size(); ++i) {
    const OnlineRequest& request = online_.requests()[i];
    if (request.cancelled()) continue;
    findings_.Check(
        "after the faults all is served",
        request.whole() && request.end.status == 200,
        fmt::format("{} at {}: {} {}", request.target, request.gateway,
                    NameOf(request.end.outcome), request.end.status));
  }
}

void SoakRun::Print() const {
  size_t served = 0;
  for (const OnlineRequest& request : online_.requests()) {
    served += request.whole() && request.end.status == 200 ? 1 : 0;
  }
  fmt::print("seed={} requests={} served={} jobs={} late_steps={}\n", seed_,
             online_.requests().size(), served, batch_.jobs().size(),
             late_steps_);
  fmt::print("faults:");
  for (const auto& [kind, count] : driver_.counts()) {
    fmt::print(" {}={}", kind, count);
  }
  fmt::print("\n");
  for (const auto& [promise, count] : findings_.judged()) {
    fmt::print("judged {:>7}: {}\n", count, promise);
  }
  for (const std::string& broken : findings_.broken()) {
    fmt::print("BROKEN {}\n", broken);
  }
}

bool SoakRun::Run() {
  site_.Start();
  began_at_ = MonotonicNow();
  RunUntil(began_at_ + size_.planned_phase + size_.fault_phase, true);
  Settle();
  Probe();
  Finish();
  Judge();
  Print();
  return findings_.broken().empty();
}

}  // namespace knapweedstile::soak
