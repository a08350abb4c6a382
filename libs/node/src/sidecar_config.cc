#include "sidecar_config.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "base/log.h"
#include "config_apply.h"
#include "fleet/spread_settings.h"

namespace knapweedstile::node {

SidecarConfig::SidecarConfig(const SidecarNodeSettings& settings, uint64_t seed,
                             TimePoint now, WireSink send)
    : settings_(settings),
      send_(std::move(send)),
      policies_(catalog_),
      spread_(fleet::SpreadSettings(),
              {settings.node.name, settings.node.availability_zone, false},
              seed, now) {}

void SidecarConfig::OnPeerUp(TimePoint now, const wire::PeerUpEvent& event) {
  LogInfo("peer_up", {{"node", event.hello.node()}});
  spread_.OnPeerUp(now, event.peer, event.hello, actions_);
  Perform();
}

void SidecarConfig::OnPeerDown(TimePoint now,
                               const wire::PeerDownEvent& event) {
  LogInfo("peer_down", {{"reason", NameOf(event.reason)}});
  spread_.OnPeerDown(now, event.peer, actions_);
  Perform();
}

void SidecarConfig::OnControl(TimePoint now, const wire::ControlEvent& event) {
  if (event.control.has_heartbeat()) {
    const pb::Heartbeat& heartbeat = event.control.heartbeat();
    spread_.OnHeartbeat(now, event.peer, heartbeat, actions_);
    for (const pb::QuarantineNotice& notice : heartbeat.quarantine()) {
      TimePoint& until = quarantine_[notice.fingerprint()];
      until = std::max(until,
                       now + std::chrono::milliseconds(notice.remaining_ms()));
    }
  } else if (event.control.has_config_request()) {
    spread_.OnRequest(event.peer, event.control.config_request(), actions_);
  } else if (event.control.has_config_delta()) {
    spread_.OnDelta(now, event.peer, event.control.config_delta(), actions_);
  }
  Perform();
}

void SidecarConfig::OnTick(TimePoint now) {
  spread_.OnTick(now, actions_);
  std::erase_if(quarantine_,
                [&](const auto& entry) { return entry.second <= now; });
  Perform();
}

void SidecarConfig::Perform() {
  for (auto& action : std::exchange(actions_, {})) {
    if (auto* send = std::get_if<fleet::SendConfigAction>(&action)) {
      send_(wire::SendControlCommand{send->peer, std::move(send->control)});
    } else if (const auto* adopted =
                   std::get_if<fleet::AdoptedAction>(&action)) {
      Adopt(*adopted);
    }
    // A sidecar has no platform to watch and connects to nobody.
  }
}

void SidecarConfig::Adopt(const fleet::AdoptedAction& action) {
  ApplyAll(catalog_, action.objects);
  announce_ = true;
  decide::SharingPolicy policy = policies_.SharingOf(
      settings_.node.name, settings_.node.availability_zone, settings_.target);
  if (policy.name == policy_.name && policy.revision == policy_.revision) {
    return;
  }
  LogInfo("policy_in_force",
          {{"policy", policy.name}, {"sharing", NameOf(policy.kind)}});
  policy_ = std::move(policy);
  policy_changed_ = true;
}

bool SidecarConfig::TakePolicyChange() {
  return std::exchange(policy_changed_, false);
}

bool SidecarConfig::TakeAnnouncement() {
  return std::exchange(announce_, false);
}

void SidecarConfig::Announce(TimePoint now, pb::Heartbeat& heartbeat) const {
  spread_.Announce(heartbeat);
  for (const auto& [fingerprint, until] : quarantine_) {
    pb::QuarantineNotice& notice = *heartbeat.add_quarantine();
    notice.set_fingerprint(fingerprint);
    notice.set_remaining_ms(ToMillis(Remaining(until, now)));
  }
}

}  // namespace knapweedstile::node
