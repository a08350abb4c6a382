#ifndef KNAPWEEDSTILE_GATEWAY_ORIGIN_HISTORY_H_
#define KNAPWEEDSTILE_GATEWAY_ORIGIN_HISTORY_H_

#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "online/route_origins.h"

namespace knapweedstile::gateway {

// Decides what the record of origins holds. Pure logic: no I/O, no clock, no
// threads; the caller passes the time.
//
// An origin that is no longer in service stays in the record for as long as a
// stream that began there may be resumed.
class OriginHistory {
 public:
  // The record that follows `recorded` while `in_service` is in service. A
  // route that is not in the record yet may have had other origins before.
  RouteOrigins Next(const RouteOrigins& recorded,
                    const RouteOrigins& in_service, TimePoint now);
  // Adds origins that are in service before there is a record.
  void AddUnrecorded(const RouteOrigins& in_service);
  // The first record of a new fleet: all streams began at unrecorded origins.
  const RouteOrigins& First() const noexcept { return unrecorded_; }

 private:
  // Since when this gateway has seen recorded origins out of service.
  std::map<std::pair<std::string, OriginName>, TimePoint> absent_since_;
  RouteOrigins unrecorded_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ORIGIN_HISTORY_H_
