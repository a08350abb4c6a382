#ifndef KNAPWEEDSTILE_DECIDE_ROUTER_SERVER_H_
#define KNAPWEEDSTILE_DECIDE_ROUTER_SERVER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "base/traffic_class.h"
#include "router_own_attempts.h"
#include "router_pace.h"

namespace knapweedstile::decide {

struct LoadReport;

// What this entry knows of one backend server, from its own attempts and from
// load reports.
class RouterServer {
 public:
  explicit RouterServer(BackendServerId id);

  // Commands.
  void Describe(std::vector<std::string> targets, std::string availability_zone,
                const std::string& own_zone);
  void ComeUp();
  void Leave() noexcept { in_ = false; }
  void OnLoad(const LoadReport& load);
  void Start(TrafficClass traffic_class, TimePoint now);
  void End(TrafficClass traffic_class, TimePoint started, TimePoint now);
  // Nothing new until then: it refused, or its connection failed.
  void CloseUntil(TimePoint until) noexcept { closed_until_ = until; }
  // No new batch until then: it refused a batch item, which says nothing about
  // online requests.
  void CloseForBatchUntil(TimePoint until) noexcept {
    batch_closed_until_ = until;
  }
  // Kept for one suspect request alone (see Quarantine); nothing else new.
  void set_isolating(bool isolating) noexcept { isolating_ = isolating; }

  // Reported down: in no pool, kept while attempts to it are unreported.
  void set_gone(bool gone) noexcept { gone_ = gone; }

  RouterPace& pace() noexcept { return pace_; }

  // Queries.
  const RouterPace& pace() const noexcept { return pace_; }
  BackendServerId id() const noexcept { return id_; }
  const std::vector<std::string>& targets() const noexcept { return targets_; }
  bool in() const noexcept { return in_; }
  bool gone() const noexcept { return gone_; }
  // In this entry's own availability zone.
  bool in_own_zone() const noexcept { return in_own_zone_; }
  bool isolating() const noexcept { return isolating_; }
  bool Open(TimePoint now) const noexcept {
    return in_ && !isolating_ && now >= closed_until_;
  }
  bool OpenFor(TrafficClass traffic_class, TimePoint now) const noexcept {
    return traffic_class == TrafficClass::kOnline || now >= batch_closed_until_;
  }
  // True when reports have stopped: what others have there is then unknown.
  bool LoadIsOld(TimePoint now) const noexcept;
  // Age of the last report, as far as it matters.
  Duration ReportAge(TimePoint now) const noexcept;
  uint32_t own(TrafficClass traffic_class) const noexcept;
  uint32_t own() const noexcept;
  uint32_t others(TrafficClass traffic_class) const noexcept;
  // How many more of this entry's are there than the last report has counted.
  int32_t OwnGrowth(TrafficClass traffic_class) const noexcept;
  uint32_t slots() const noexcept { return slots_; }

 private:
  struct ClassLoad {
    RouterOwnAttempts own;
    uint32_t others = 0;
    uint32_t own_when_reported = 0;
  };
  ClassLoad& of(TrafficClass traffic_class) noexcept {
    return traffic_class == TrafficClass::kOnline ? online_ : batch_;
  }
  const ClassLoad& of(TrafficClass traffic_class) const noexcept {
    return traffic_class == TrafficClass::kOnline ? online_ : batch_;
  }

  BackendServerId id_;
  std::vector<std::string> targets_;
  std::string availability_zone_;
  bool in_own_zone_ = false;
  bool in_ = true;
  bool isolating_ = false;
  bool gone_ = false;
  uint32_t slots_;
  ClassLoad online_;
  ClassLoad batch_;
  RouterPace pace_;
  TimePoint load_measured_at_;
  TimePoint closed_until_;
  TimePoint batch_closed_until_;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ROUTER_SERVER_H_
