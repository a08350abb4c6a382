#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace knapweedstile::workspaces {

// The hash by which gateways identify a workspace in reports.
using WorkspaceHash = uint64_t;
// The hash by which they identify a gateway.
using GatewayHash = uint64_t;

// The rate limit applies to the full window and to the last fifth of it, the
// last two fifths and so on.
inline constexpr size_t kRateSpans = 5;

// The requests of a workspace that one gateway has admitted recently.
struct AdmittedCount {
  WorkspaceHash workspace = 0;
  // In the last fifth of the window, in the last two fifths and so on.
  std::array<uint32_t, kRateSpans> in_spans{};

  uint32_t in_window() const noexcept { return in_spans.back(); }
};

// The requests that a process of a gateway had admitted before it ended.
struct PreviousProcessCount {
  GatewayHash gateway = 0;
  WorkspaceHash workspace = 0;
  uint32_t in_window = 0;
};

// One gateway's report to its peers on the requests that it has admitted. The
// counts are absolute, so that a later report replaces a lost one.
struct RateReport {
  Duration uptime{};  // of the gateway's process
  // Gateways in the fleet; zero: the sender has not read the list yet.
  uint32_t fleet_size = 0;
  std::vector<AdmittedCount> admitted;
  // In full reports only.
  std::vector<PreviousProcessCount> previous_processes;
  // Gateways that the sender gets no reports from; in full reports only.
  std::vector<GatewayHash> unreachable;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_
