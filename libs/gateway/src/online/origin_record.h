#ifndef KNAPWEEDSTILE_GATEWAY_ORIGIN_RECORD_H_
#define KNAPWEEDSTILE_GATEWAY_ORIGIN_RECORD_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "online/origin_history.h"
#include "online/route_origins.h"
#include "platform/store_answer.h"
#include "serving/stream_origin.h"

namespace knapweedstile::gateway {

class StoreCalls;

// The record in the store of the origins that streams of each route can have.
//
// Guards against a stream that continues at another software version when no
// gateway remembers it, as after all were killed: a version may have left or
// come meanwhile. Where the record has one origin only, the stream began there.
// It is written when origins change, and read when a stream is not remembered.
class OriginRecord {
 public:
  // Called with the only origin of the route, or none. `answered`: the store
  // has responded; otherwise it may know more later.
  using Callback = std::function<void(
      const std::optional<serving::StreamOrigin>& origin, bool answered)>;

  explicit OriginRecord(StoreCalls& store) : store_(store) {}

  // Events. The record was read, or has changed.
  void OnRecord(const platform::StoredObject& object);
  // The store was listed, and has no record. `is_first`: this is the first
  // gateway of its fleet.
  void OnNoRecord(bool is_first, TimePoint now);
  // The origins at which this gateway starts streams have changed.
  void OnInService(RouteOrigins&& in_service);

  // Writes the record if it is not up to date. `turn`: delays the write, so
  // that the gateways of a fleet do not write at the same time.
  void Run(TimePoint now, Duration turn);
  void FindOnly(const std::string& route, Callback done);

 private:
  static constexpr uint64_t kNoVersion = ~uint64_t{0};

  struct Search {
    std::string route;
    Callback done;
  };

  bool Exists() const noexcept { return version_ != 0; }
  void Write(RouteOrigins&& origins);
  void OnWritten(const platform::StoreAnswer& answer);
  void Read();
  void OnRead(const platform::StoreAnswer& answer);
  // The only origin of the route according to the record.
  std::optional<serving::StreamOrigin> OnlyOrigin(
      const std::string& route) const;

  StoreCalls& store_;
  OriginHistory history_;
  uint64_t version_ = 0;   // of `recorded_`; zero: there is none
  RouteOrigins recorded_;  // as last read or written
  RouteOrigins in_service_;
  bool is_first_ = false;
  TimePoint create_at_ = kNever;
  TimePoint check_at_{};
  TimePoint write_at_ = kNever;  // never: the record is up to date
  // The version of the record at which the last write failed.
  uint64_t conflicting_version_ = kNoVersion;
  bool writing_ = false;
  bool reading_ = false;
  // A read that began before a search may be too old for it.
  std::vector<Search> searches_;   // wait for the next read
  std::vector<Search> answering_;  // wait for the read in progress
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ORIGIN_RECORD_H_
