#ifndef KNAPWEEDSTILE_GATEWAY_CONNECTION_GATE_H_
#define KNAPWEEDSTILE_GATEWAY_CONNECTION_GATE_H_

#include <cstdint>

#include "base/time.h"

namespace knapweedstile::gateway {

// Decides which new connections a gateway accepts. Pure logic: no I/O, no
// clock, no threads; the caller passes the time.
//
// Guards against a load balancer that sends most new connections of a zone to
// one gateway: with all of them accepted, every request there would be late.
// While the process is short of processor time and its peers are not, it
// accepts connections at a limited rate and closes the others unread, so that
// their callers go to the peers at once. The limit starts near the usual rate
// and follows whether the process stays short.
class ConnectionGate {
 public:
  // Commands.
  // Called every 20 ms. `limits`: the process is short and its peers are not.
  void Update(bool limits, TimePoint now);
  // Whether to accept a connection that has just arrived.
  bool Admit(TimePoint now);

  // Queries.
  bool limiting() const noexcept { return limiting_; }
  uint64_t closed() const noexcept { return closed_; }

 private:
  void Refill(TimePoint now);

  bool limiting_ = false;
  double limit_ = 0;       // connections a second
  double usual_rate_ = 0;  // accepted a second, while not limiting
  double tokens_ = 0;
  uint64_t arrived_ = 0;  // since the last adjustment
  uint64_t closed_ = 0;
  TimePoint adjusted_at_{};
  TimePoint refilled_at_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_CONNECTION_GATE_H_
