#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace knapweedstile::workspaces {

// A workspace's name as the entries tell it each other.
using WorkspaceHash = uint64_t;
// The same for an entry's name.
using EntryHash = uint64_t;

// What one entry has admitted of a workspace lately.
struct AdmittedCount {
  WorkspaceHash workspace = 0;
  uint32_t in_window = 0;  // in the last RateQuota::kWindow
  uint32_t in_second = 0;
};

// What a process of an entry that is gone had admitted before its end.
struct FormerCount {
  EntryHash entry = 0;
  WorkspaceHash workspace = 0;
  uint32_t in_window = 0;
};

// What one entry tells the others of the requests that it has admitted. Counts
// are whole, so that a later report makes good a lost one.
struct RateReport {
  Duration uptime{};  // of the entry's process
  // Entries of the fleet, as far as the entry knows; zero: it does not.
  uint32_t entries = 0;
  std::vector<AdmittedCount> admitted;
  // Whole reports only.
  std::vector<FormerCount> former;
  // Entries of the fleet that this one does not hear; whole reports only.
  std::vector<EntryHash> unheard;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_REPORT_H_
