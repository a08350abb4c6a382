#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace knapweedstile::workspaces {

// A workspace's name as the entries tell it each other.
using WorkspaceHash = uint64_t;
// The same for an entry's name.
using GatewayHash = uint64_t;

// The rate holds in the whole window and in each of its fifths and their
// multiples: the last fifth, the last two and so on.
inline constexpr size_t kRateSpans = 5;

// What one entry has admitted of a workspace lately.
struct AdmittedCount {
  WorkspaceHash workspace = 0;
  // In the last fifth of the window, in the last two fifths and so on.
  std::array<uint32_t, kRateSpans> in_spans{};

  uint32_t in_window() const noexcept { return in_spans.back(); }
};

// What a process of an entry that is gone had admitted before its end.
struct PreviousProcessCount {
  GatewayHash gateway = 0;
  WorkspaceHash workspace = 0;
  uint32_t in_window = 0;
};

// What one entry tells the others of the requests that it has admitted. Counts
// are whole, so that a later report makes good a lost one.
struct RateReport {
  Duration uptime{};  // of the entry's process
  // Entries of the fleet, as far as the entry knows; zero: it does not.
  uint32_t fleet_size = 0;
  std::vector<AdmittedCount> admitted;
  // Whole reports only.
  std::vector<PreviousProcessCount> previous_processes;
  // Entries of the fleet that this one does not hear; whole reports only.
  std::vector<GatewayHash> unreachable;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_
