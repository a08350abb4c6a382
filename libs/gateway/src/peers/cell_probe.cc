#include "peers/cell_probe.h"

#include <utility>

namespace knapweedstile::gateway {
namespace {

constexpr std::chrono::milliseconds kProbePause{1000};
constexpr std::string_view kProbe = "knap-cell-probe";
constexpr std::string_view kAnswer = "knap-cell-answer";

}  // namespace

CellProbe::CellProbe(cluster::CellWatch& watch, Callbacks callbacks)
    : watch_(watch), callbacks_(std::move(callbacks)) {}

void CellProbe::Run(TimePoint now) {
  if (now < probe_at_) return;
  probe_at_ = now + kProbePause;
  watch_.Update(now);
  probed_.clear();
  for (const serving::Cell& cell : watch_.ProbedCells()) {
    for (const std::string& address : callbacks_.addresses_in(cell)) {
      probed_[address] = cell;
      callbacks_.send(address, std::string(kProbe));
    }
  }
}

bool CellProbe::OnDatagram(std::string_view datagram, const std::string& sender,
                           TimePoint now) {
  if (datagram == kProbe) {
    probed_at_ = now;
    callbacks_.send(sender, std::string(kAnswer));
    return true;
  }
  if (datagram != kAnswer) return false;
  const auto probed = probed_.find(sender);
  if (probed != probed_.end()) watch_.OnAnswer(probed->second, now);
  return true;
}

}  // namespace knapweedstile::gateway
