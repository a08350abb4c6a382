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
// How long a server that came up takes to get its full share. Its reports need
// a heartbeat or two to show what all entries together have sent.
constexpr Duration kSlowStart = std::chrono::seconds(3);
// Share of the slots used at once after coming up.
constexpr double kFirstShare = 0.125;

double StartedShare(Duration age) {
  const double share = ToSeconds(age) / ToSeconds(Duration(kSlowStart));
  return std::clamp(share, kFirstShare, 1.0);
}

}  // namespace

RouterServer::RouterServer(BackendServerId id, TimePoint now)
    : id_(id),
      slots_(kAssumedSlots),
      load_measured_at_(TimePoint::min()),
      up_since_(now),
      closed_until_(TimePoint::min()) {}

void RouterServer::Describe(std::vector<std::string> targets,
                            std::string availability_zone) {
  targets_ = std::move(targets);
  zone_ = std::move(availability_zone);
}

void RouterServer::ComeUp(TimePoint now) {
  in_ = true;
  up_since_ = now;
  pace_.Reset();
  closed_until_ = TimePoint::min();
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

double RouterServer::UsableSlots(TimePoint now,
                                 TimePoint oldest_up) const noexcept {
  const double slots = slots_;
  if (up_since_ == oldest_up || now - up_since_ >= kSlowStart) return slots;
  const double share = StartedShare(now - up_since_);
  return std::max(1.0, slots * share / StartedShare(now - oldest_up));
}

}  // namespace knapweedstile::decide
