#ifndef KNAPWEEDSTILE_GATEWAY_ONLINE_CALL_H_
#define KNAPWEEDSTILE_GATEWAY_ONLINE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "http/header_list.h"
#include "http/server_event.h"
#include "serving/event_stream_reader.h"
#include "serving/route.h"
#include "serving/server_usage.h"

namespace knapweedstile::gateway {

// One online request of a caller, until its last answer byte.
struct OnlineCall {
  ExchangeId caller;  // the caller's exchange
  http::RequestEvent request;
  std::string request_id;
  std::string workspace;       // that asks; empty: none
  TimePoint admitted_at;       // within its workspace's rate
  bool less_urgent = false;    // than other requests of its service
  bool own_interface = false;  // answers bear the product's own headers
  uint64_t fingerprint = 0;    // the same when the request comes again
  serving::Route route;        // as it was when the request came
  std::string service;         // picked among the route's services
  TimePoint deadline;          // of the caller or the route, whichever is first

  // The attempt in progress.
  ExchangeId upstream;
  BackendServerId server;
  std::string address;  // of the last server that it was sent to
  TimePoint sent_at;
  serving::ServerUsage usage_at_send;  // of the server, before this request
  bool preempted_batch = false;
  unsigned status = 0;  // of the attempt's head; zero: none yet
  http::HeaderList head;
  std::string body;  // collected unless it is passed on at once

  // Over all attempts.
  uint32_t runs = 0;                 // attempts that may have run
  uint32_t unexecuted_attempts = 0;  // attempts that certainly did not
  std::vector<BackendServerId> excluded;
  bool response_started = false;  // the caller has got the head of its answer
  TimePoint first_byte_at{};
  serving::EventStreamReader reader;
  std::optional<uint64_t> last_event;  // passed on to the caller
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ONLINE_CALL_H_
