#include "soak_run.h"

#include <fmt/format.h>

#include <utility>

#include "base/clock.h"
#include "batch_checker.h"
#include "fault_plan.h"
#include "online_checker.h"
#include "workspace_checker.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
// A longer time between steps means that the test's own thread was delayed.
// Times measured by callers then say nothing about the product.
constexpr milliseconds kLateStep{150};
// Time for gateway state, timeouts and restarts to settle after the last fault.
constexpr milliseconds kSettleTime{9000};
// After that, every item must be listed within this time.
constexpr std::chrono::seconds kFinishTimeout{45};
constexpr milliseconds kReadAllInterval{1000};
constexpr milliseconds kProbeInterval{25};

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
  if (last_step_at_ != TimePoint{} && now - last_step_at_ > kLateStep) {
    ++late_steps_;
    site_.fault_windows().Add("", last_step_at_, now);
  }
  last_step_at_ = now;
  site_.Run(now);
  batch_.Run(now);
}

void SoakRun::RunUntil(TimePoint end, bool faults) {
  while (last_step_at_ < end) {
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
  driver_.ClearFaults(MonotonicNow());
  RunUntil(MonotonicNow() + kSettleTime, false);
}

// Checks that every gateway serves each kind of request after the faults.
// Probes gateways one after another, because hundreds of simultaneous requests
// would exceed the servers' slots and some would correctly be rejected.
void SoakRun::Probe() {
  first_probe_ = online_.requests().size();
  for (const std::string& gateway : site_.gateways()) {
    online_.Probe(gateway, MonotonicNow());
    site_.site().caller().RunFor(kProbeInterval);
    Step(MonotonicNow());
    online_.Collect(MonotonicNow());
  }
}

void SoakRun::Finish() {
  batch_.StopSubmitting();
  const TimePoint limit = MonotonicNow() + kFinishTimeout;
  TimePoint read_at{};
  while (MonotonicNow() < limit) {
    site_.site().caller().RunFor(kStep);
    const TimePoint now = MonotonicNow();
    Step(now);
    online_.Collect(now);
    if (batch_.AllListed() && !batch_.comparing() && online_.open() == 0) break;
    if (now - read_at < kReadAllInterval) continue;
    read_at = now;
    batch_.ReadAll(site_.gateways().front(), now);
  }
  // Every gateway must return the same results.
  for (const std::string& gateway : site_.gateways()) {
    batch_.ReadAll(gateway, MonotonicNow());
  }
  const TimePoint end = MonotonicNow() + kFinishTimeout;
  while (batch_.open() > 0 && MonotonicNow() < end) {
    site_.site().caller().RunFor(kStep);
    Step(MonotonicNow());
  }
}

void SoakRun::CheckPromises() {
  const RunIndex runs = site_.Runs();
  OnlineChecker online(runs, site_.fault_windows(), site_.operations(),
                       SoakSite::kEvents, slack_, findings_);
  online.Check(online_.requests());
  WorkspaceChecker workspaces(runs, site_.fault_windows(), site_.operations(),
                              slack_, findings_);
  workspaces.Check(online_.requests());
  BatchChecker batch(runs, site_.fault_windows(), site_.operations(),
                     SoakSite::kEvents, slack_, findings_);
  batch.Check(batch_.jobs());
  for (size_t i = first_probe_; i < online_.requests().size(); ++i) {
    const OnlineRequest& request = online_.requests()[i];
    if (request.cancelled() || request.continues()) continue;
    findings_.Check(
        "after the faults all is served",
        request.complete() && request.end.status == 200,
        fmt::format("{} at {}: {} {}", request.target, request.gateway,
                    NameOf(request.end.outcome), request.end.status));
  }
}

void SoakRun::PrintReport() const {
  size_t served = 0;
  size_t returned = 0;
  size_t resumed = 0;
  for (const OnlineRequest& request : online_.requests()) {
    const bool ok = request.end.status == 200;
    served += request.complete() && ok ? 1 : 0;
    returned += request.continues() ? 1 : 0;
    resumed += request.continues() && ok ? 1 : 0;
  }
  fmt::print(
      "seed={} requests={} served={} returned={} resumed={} jobs={} "
      "late_steps={}\n",
      seed_, online_.requests().size(), served, returned, resumed,
      batch_.jobs().size(), late_steps_);
  fmt::print("faults:");
  for (const auto& [kind, count] : driver_.counts()) {
    fmt::print(" {}={}", kind, count);
  }
  fmt::print("\n");
  for (const auto& [promise, count] : findings_.check_counts()) {
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
  CheckPromises();
  PrintReport();
  return findings_.broken().empty();
}

}  // namespace knapweedstile::soak
