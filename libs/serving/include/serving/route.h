#ifndef KNAPWEEDSTILE_SERVING_ROUTE_H_
#define KNAPWEEDSTILE_SERVING_ROUTE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "serving/service_share.h"

namespace knapweedstile::serving {

// Whether requests of a route may be repeated, and the form of its responses.
enum class RouteKind {
  kIdempotent,     // may run any number of times
  kNonIdempotent,  // each request runs at most once
  kStream,         // response is a server-sent event stream
  kBatch,          // jobs of many items, run later
};

// One line of the operators' routing table.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<ServiceShare> services;  // at least one
  // Maximum time that a request may be kept waiting.
  std::chrono::milliseconds timeout{5000};
  // Time within which a response is on time (streams: the first event; batch:
  // the acceptance).
  std::chrono::milliseconds latency_objective{1000};
  uint32_t max_attempts = 1;  // backend servers that may run one request
  uint32_t priority = 0;      // zero is the most urgent
  bool is_public = false;     // needs no API key
  // A broken stream may resume on another backend server.
  bool resumable = false;
  // Batch: time from the first submission of a job until all its results are
  // due.
  std::chrono::milliseconds completion_objective{60000};
  // Batch: time from the first submission of a job after which an item may be
  // failed.
  std::chrono::milliseconds item_ttl{60000};
  // Batch: limit on the tokens of unfinished items of one workspace over the
  // whole fleet; zero: no limit.
  uint64_t max_waiting_tokens = 0;

  // Whether a request may be sent again although it may have run.
  bool IsRetryable() const noexcept { return kind == RouteKind::kIdempotent; }
};

}  // namespace knapweedstile::serving

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<serving::RouteKind> = {"idempotent", "non_idempotent", "stream",
                                      "batch"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_SERVING_ROUTE_H_
