#ifndef KNAPWEEDSTILE_GATEWAY_CELL_PROBE_H_
#define KNAPWEEDSTILE_GATEWAY_CELL_PROBE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "cluster/cell_watch.h"
#include "serving/cell.h"

namespace knapweedstile::gateway {

// Probes the gateways of the cells that cluster::CellWatch selects with
// datagrams, and answers the probes of others.
class CellProbe {
 public:
  struct Callbacks {
    // Addresses ("IP:PORT") of the registered gateways of a cell.
    std::function<std::vector<std::string>(const serving::Cell&)> addresses_in;
    std::function<void(const std::string& address, const std::string& datagram)>
        send;
  };

  CellProbe(cluster::CellWatch& watch, Callbacks callbacks);

  // Commands.
  // Sends the probes that are due.
  void Run(TimePoint now);
  // Returns whether the datagram, from the address "IP:PORT", is a probe or the
  // answer to one.
  bool OnDatagram(std::string_view datagram, const std::string& sender,
                  TimePoint now);

  // Queries.
  // When another cell last probed this one, which it does until it knows that
  // this one has departed; zero: never.
  TimePoint probed_at() const noexcept { return probed_at_; }

 private:
  cluster::CellWatch& watch_;
  Callbacks callbacks_;
  TimePoint probe_at_{};
  TimePoint probed_at_{};
  std::map<std::string, serving::Cell> probed_;  // by address
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_CELL_PROBE_H_
