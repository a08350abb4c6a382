#include "write_fates.h"

#include "base/clock.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;

// The client ends its job, if it does, while its writer waits for the answer.
constexpr milliseconds kEndDelay{500};
// What a killed gateway leaves is taken over within this time.
constexpr milliseconds kKillWindow{2000};

}  // namespace

WriteFates::WriteFates(SoakSite& site, BatchTraffic& batch)
    : site_(site), batch_(batch) {
  site_.site().store().write_fate = [this](const std::string& name,
                                           std::string_view host) {
    return OnWrite(name, host);
  };
}

void WriteFates::Add(const PlannedFault& fault) {
  // A third is done at once; of all, half have their job ended and a quarter
  // lose their writer.
  fates_.push_back(
      {.delay = fault.strength % 3 == 0 ? milliseconds(0) : fault.duration,
       .ends_job = fault.strength / 3 % 2 == 0,
       .kills_writer = fault.strength / 6 % 4 == 0});
}

std::optional<milliseconds> WriteFates::OnWrite(const std::string& name,
                                                std::string_view host) {
  if (fates_.empty()) return std::nullopt;
  const std::string job = batch_.OpenJobNamedIn(name);
  if (job.empty()) return std::nullopt;
  const Fate fate = fates_.back();
  fates_.pop_back();
  const TimePoint now = MonotonicNow();
  site_.fault_windows().Add("", now, now + fate.delay);
  batch_.CompareGateways(job, now + fate.delay);
  if (fate.ends_job) {
    site_.RunAt(now + kEndDelay,
                [this, job] { batch_.EndJob(job, MonotonicNow()); });
  }
  const std::string writer = site_.GatewayAtStore(host);
  if (fate.kills_writer && !writer.empty()) {
    site_.fault_windows().Add("", now, now + kKillWindow);
    site_.Kill(writer);
  }
  return fate.delay;
}

}  // namespace knapweedstile::soak
