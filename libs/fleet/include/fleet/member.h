#ifndef KNAPWEEDSTILE_FLEET_MEMBER_H_
#define KNAPWEEDSTILE_FLEET_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "fleet/member_state.h"

namespace knapweedstile::fleet {

// What an entry knows of one VM.
struct Member {
  PeerId peer;
  std::string name;
  std::string address;
  std::string availability_zone;
  std::string target;
  MemberRole role = MemberRole::kSidecar;
  MemberState state = MemberState::kDown;

  BackendServerId server() const noexcept {
    return BackendServerId(peer.value());
  }
  bool is_leaving() const noexcept { return leaving || listed_leaving; }

  bool wanted = false;  // this entry connects to it
  bool connected = false;
  bool silent = false;       // the last connection ended in silence
  bool healthy = false;      // by its last heartbeat
  uint64_t incarnation = 0;  // of the last Hello
  // The process of `left_incarnation` is leaving, by whichever signal.
  bool leaving = false;
  uint64_t left_incarnation = 0;
  // The newest list says so. Outlasts a new process, which a list that lags
  // cannot tell from a server that goes on leaving.
  bool listed_leaving = false;
  std::optional<TimePoint> absent_since;  // from lists that are believed
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_MEMBER_H_
