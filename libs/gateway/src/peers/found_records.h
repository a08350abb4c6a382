#ifndef KNAPWEEDSTILE_GATEWAY_FOUND_RECORDS_H_
#define KNAPWEEDSTILE_GATEWAY_FOUND_RECORDS_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "peers/store_record.h"

namespace knapweedstile::gateway {

// Records that this gateway has read from the store although no peer pushed
// them: if none does so shortly, this gateway pushes them. Pure logic: no I/O,
// no clock, no threads; the caller passes the time.
//
// Guards against a record that only this gateway knows until the peers' next
// periodic reads: the store has executed a write whose response was lost, or
// after its writer had terminated, so no advertised count includes the record.
class FoundRecords {
 public:
  void OnFound(StoreRecord&& record, TimePoint now);
  // The record was pushed, by a peer or by this gateway.
  void OnPushed(const std::string& name) { records_.erase(name); }
  // Removes and returns the records that are to be pushed now.
  std::vector<StoreRecord> TakeDue(TimePoint now);

 private:
  struct Found {
    TimePoint push_at;
    std::string value;
  };

  std::map<std::string, Found> records_;  // by name
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_FOUND_RECORDS_H_
