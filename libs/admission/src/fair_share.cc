#include "admission/fair_share.h"

#include <algorithm>
#include <limits>

namespace knapweedstile::admission {
namespace {

// A workspace lacks room for this long after a request that found none. In this
// time others leave slots free for it, so it rarely finds none again.
constexpr std::chrono::milliseconds kLacksRoomFor{3000};
// One in so many slots is left free for workspaces within their shares.
constexpr uint32_t kSlotsPerReserved = 20;
// Peers report every 250 ms while slots are short.
constexpr std::chrono::milliseconds kReportLifetime{800};
// A report must stay a small part of a datagram.
constexpr size_t kMaxNamed = 32;

}  // namespace

void FairShare::OnStarted(ServiceHash service, WorkspaceHash workspace) {
  ++own_[service][workspace].in_use;
}

void FairShare::OnEnded(ServiceHash service, WorkspaceHash workspace) {
  const auto uses = own_.find(service);
  if (uses == own_.end()) return;
  const auto use = uses->second.find(workspace);
  if (use != uses->second.end() && use->second.in_use > 0) --use->second.in_use;
}

void FairShare::OnNoRoom(ServiceHash service, WorkspaceHash workspace,
                         TimePoint now) {
  own_[service][workspace].no_room_at = now;
}

void FairShare::SetPeerDemand(const std::string& peer,
                              std::vector<WorkspaceDemand> demand,
                              TimePoint now) {
  if (demand.empty()) return RemovePeer(peer);
  peers_[peer] = {.demand = std::move(demand), .received_at = now};
}

void FairShare::Expire(TimePoint now) {
  std::erase_if(peers_, [now](const auto& element) {
    return now - element.second.received_at > kReportLifetime;
  });
  for (auto& [service, uses] : own_) {
    std::erase_if(uses, [now](const auto& element) {
      return element.second.in_use == 0 && !LacksRoom(element.second, now);
    });
  }
  std::erase_if(own_, [](const auto& uses) { return uses.second.empty(); });
}

bool FairShare::LacksRoom(const Use& use, TimePoint now) {
  return use.no_room_at != kNever && now - use.no_room_at <= kLacksRoomFor;
}

bool FairShare::IsShort(TimePoint now) const {
  for (const auto& [peer, report] : peers_) {
    const bool lacks = std::any_of(
        report.demand.begin(), report.demand.end(),
        [](const WorkspaceDemand& demand) { return demand.lacks_room; });
    if (lacks && now - report.received_at <= kReportLifetime) return true;
  }
  for (const auto& [service, uses] : own_) {
    const bool lacks = std::any_of(
        uses.begin(), uses.end(),
        [now](const auto& element) { return LacksRoom(element.second, now); });
    if (lacks) return true;
  }
  return false;
}

FairShare::Totals FairShare::TotalsOf(ServiceHash service,
                                      TimePoint now) const {
  Totals totals;
  if (const auto uses = own_.find(service); uses != own_.end()) {
    for (const auto& [workspace, use] : uses->second) {
      totals[workspace] = {use.in_use, LacksRoom(use, now)};
    }
  }
  for (const auto& [peer, report] : peers_) {
    if (now - report.received_at > kReportLifetime) continue;
    for (const WorkspaceDemand& demand : report.demand) {
      if (demand.service != service) continue;
      Total& total = totals[demand.workspace];
      total.in_use += demand.in_use;
      total.lacks_room |= demand.lacks_room;
    }
  }
  return totals;
}

double FairShare::WeightOf(WorkspaceHash workspace) const {
  const auto weight = weights_.find(workspace);
  return weight == weights_.end() ? 1 : weight->second;
}

// Workspaces that lack nothing keep what they have, as far as it is within the
// level; the others divide the rest by weight.
double FairShare::FairLevel(const Totals& totals, uint32_t all_slots) const {
  struct Claim {
    double per_weight = 0;  // infinite: wants more than it has
    double weight = 0;
    double in_use = 0;
  };
  std::vector<Claim> claims;
  double in_use = 0;
  for (const auto& [workspace, total] : totals) {
    in_use += total.in_use;
    // What is only a sum keeps what it has.
    const double weight = workspace == kOtherWorkspaces
                              ? std::max(1U, total.in_use)
                              : WeightOf(workspace);
    const double per_weight = total.lacks_room
                                  ? std::numeric_limits<double>::infinity()
                                  : total.in_use / weight;
    claims.push_back({per_weight, weight, static_cast<double>(total.in_use)});
  }
  std::sort(claims.begin(), claims.end(), [](const Claim& a, const Claim& b) {
    return a.per_weight < b.per_weight;
  });
  // More than the slots are in use while requests wait at servers.
  double slots = std::max<double>(in_use, all_slots);
  double weights = 0;
  for (const Claim& claim : claims) weights += claim.weight;
  for (const Claim& claim : claims) {
    const double level = slots / weights;
    if (claim.per_weight > level) return level;
    slots -= claim.in_use;
    weights -= claim.weight;
  }
  return std::numeric_limits<double>::infinity();
}

double FairShare::ShareOf(ServiceHash service, WorkspaceHash workspace,
                          uint32_t slots, TimePoint now) const {
  return FairLevel(TotalsOf(service, now), slots) * WeightOf(workspace);
}

Standing FairShare::StandingOf(ServiceHash service, WorkspaceHash workspace,
                               const SlotRoom& room, TimePoint now) const {
  const uint32_t reserved = std::max(1U, room.slots / kSlotsPerReserved);
  if (room.free > reserved || !IsShort(now)) return Standing::kWithinShare;
  const Totals totals = TotalsOf(service, now);
  const double level = FairLevel(totals, room.slots);
  const auto is_beyond = [&](WorkspaceHash other, uint32_t more) {
    const auto total = totals.find(other);
    const uint32_t in_use = total == totals.end() ? 0 : total->second.in_use;
    return in_use + more > std::max(1.0, level * WeightOf(other));
  };
  if (!is_beyond(workspace, 1)) return Standing::kWithinShare;
  const bool others_lack_room =
      std::any_of(totals.begin(), totals.end(), [&](const auto& element) {
        return element.first != workspace && element.second.lacks_room &&
               !is_beyond(element.first, 1);
      });
  return others_lack_room ? Standing::kBeyondShare : Standing::kWithinShare;
}

std::vector<WorkspaceDemand> FairShare::Report(TimePoint now) const {
  std::vector<WorkspaceDemand> report;
  if (!IsShort(now)) return report;
  for (const auto& [service, uses] : own_) {
    for (const auto& [workspace, use] : uses) {
      const bool lacks_room = LacksRoom(use, now);
      if (use.in_use > 0 || lacks_room)
        report.push_back({service, workspace, use.in_use, lacks_room});
    }
  }
  if (report.size() <= kMaxNamed) return report;
  // Those that lack room are the ones that peers must know.
  std::sort(report.begin(), report.end(),
            [](const WorkspaceDemand& a, const WorkspaceDemand& b) {
              return std::pair(a.lacks_room, a.in_use) >
                     std::pair(b.lacks_room, b.in_use);
            });
  std::map<ServiceHash, uint32_t> others;
  for (size_t i = kMaxNamed; i < report.size(); ++i) {
    others[report[i].service] += report[i].in_use;
  }
  report.resize(kMaxNamed);
  for (const auto& [service, in_use] : others) {
    report.push_back({service, kOtherWorkspaces, in_use, false});
  }
  return report;
}

}  // namespace knapweedstile::admission
