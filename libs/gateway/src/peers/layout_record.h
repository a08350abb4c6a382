#ifndef KNAPWEEDSTILE_GATEWAY_LAYOUT_RECORD_H_
#define KNAPWEEDSTILE_GATEWAY_LAYOUT_RECORD_H_

#include <functional>
#include <vector>

#include "cluster/fleet_layout.h"
#include "platform/store_answer.h"

namespace knapweedstile::gateway {

class StoreCalls;

// The record of the fleet's layout in the store, which is created once.
//
// Guards against gateways that disagree on where a job's records are. A job is
// accepted only by a gateway that knows the layout, and a job that is not found
// is reported as unknown only after the layout was looked up: a gateway whose
// directory is old, or that has just started, learns it from the store.
class LayoutRecord {
 public:
  // `answered`: the layout was passed to `learned`, or the store has none.
  using Callback = std::function<void(bool answered)>;

  LayoutRecord(StoreCalls& store,
               std::function<void(const cluster::FleetLayout& layout)> learned);

  // Reads the record and passes it to `learned`, if there is one.
  void Read(Callback done);
  // Creates the record if there is none, otherwise reads it.
  void Create(const cluster::FleetLayout& layout, Callback done);

 private:
  bool OnRead(const platform::StoreAnswer& answer);
  void OnCreated(const cluster::FleetLayout& layout,
                 const platform::StoreAnswer& answer);

  StoreCalls& store_;
  std::function<void(const cluster::FleetLayout&)> learned_;
  std::vector<Callback> creating_;  // callers that share one call
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LAYOUT_RECORD_H_
