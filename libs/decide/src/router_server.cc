#include "router_server.h"

#include <algorithm>
#include <utility>

#include "decide/load_report.h"

namespace knapweedstile::decide {
namespace {

// Slots of a server that has not reported yet; plain services report none.
constexpr uint32_t kAssumedSlots = 8;
// A report older than this is treated as missing: three heartbeats of a second.
constexpr Duration kLoadLife = std::chrono::seconds(3);
// Beyond a heartbeat's interval age says nothing more about the load.
constexpr Duration kLongestAge = std::chrono::seconds(1);

}  // namespace

RouterServer::RouterServer(BackendServerId id)
    : id_(id),
      slots_(kAssumedSlots),
      load_measured_at_(TimePoint::min()),
      closed_until_(TimePoint::min()),
      batch_closed_until_(TimePoint::min()) {}

void RouterServer::Describe(std::vector<std::string> targets,
                            std::string availability_zone,
                            const std::string& own_zone) {
  targets_ = std::move(targets);
  availability_zone_ = std::move(availability_zone);
  in_own_zone_ = availability_zone_ == own_zone;
}

void RouterServer::ComeUp() {
  in_ = true;
  pace_.Reset();
  closed_until_ = TimePoint::min();
  batch_closed_until_ = TimePoint::min();
  load_measured_at_ = TimePoint::min();
  online_.others = 0;
  batch_.others = 0;
}

void RouterServer::OnLoad(const LoadReport& load) {
  if (load.measured_at < load_measured_at_) return;  // overtaken on the way
  load_measured_at_ = load.measured_at;
  slots_ = std::max<uint32_t>(load.slots, 1);
  const auto minus_own = [&](ClassLoad& of, uint32_t reported) {
    const uint32_t own = of.own.RunningAt(load.measured_at);
    of.others = reported > own ? reported - own : 0;
    of.own_when_reported = own;
  };
  minus_own(online_, load.online_running + load.online_waiting);
  minus_own(batch_, load.batch_running + load.batch_waiting);
}

void RouterServer::Start(TrafficClass traffic_class, TimePoint now) {
  of(traffic_class).own.Start(now);
}

void RouterServer::End(TrafficClass traffic_class, TimePoint started,
                       TimePoint now) {
  of(traffic_class).own.End(started, now);
}

bool RouterServer::LoadIsOld(TimePoint now) const noexcept {
  return load_measured_at_ == TimePoint::min() ||
         now - load_measured_at_ > kLoadLife;
}

Duration RouterServer::ReportAge(TimePoint now) const noexcept {
  if (load_measured_at_ == TimePoint::min()) return kLongestAge;
  return std::min(kLongestAge, now - load_measured_at_);
}

uint32_t RouterServer::own(TrafficClass traffic_class) const noexcept {
  return of(traffic_class).own.running();
}

uint32_t RouterServer::own() const noexcept {
  return online_.own.running() + batch_.own.running();
}

uint32_t RouterServer::others(TrafficClass traffic_class) const noexcept {
  return of(traffic_class).others;
}

int32_t RouterServer::OwnGrowth(TrafficClass traffic_class) const noexcept {
  const ClassLoad& load = of(traffic_class);
  return static_cast<int32_t>(load.own.running()) -
         static_cast<int32_t>(load.own_when_reported);
}

}  // namespace knapweedstile::decide
