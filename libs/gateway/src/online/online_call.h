#ifndef KNAPWEEDSTILE_GATEWAY_ONLINE_CALL_H_
#define KNAPWEEDSTILE_GATEWAY_ONLINE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/wait_verdict.h"
#include "base/id.h"
#include "base/time.h"
#include "http/header_list.h"
#include "http/server_event.h"
#include "servers/attempt_pace.h"
#include "serving/event_stream_reader.h"
#include "serving/route.h"
#include "serving/server_usage.h"

namespace knapweedstile::gateway {

// The state of one online request, until the last byte of its response.
struct OnlineCall {
  ExchangeId caller;  // the caller's exchange
  http::RequestEvent request;
  std::string request_id;
  std::string workspace;     // of the caller; empty: none
  TimePoint admitted_at;     // counted in its workspace's rate
  bool less_urgent = false;  // than other requests of its service
  // The caller has received events of a stream, of which the request `resumes`
  // brought the first.
  bool continues_stream = false;
  std::string resumes;         // empty: not named
  bool own_interface = false;  // responses have the product's own headers
  uint64_t fingerprint = 0;    // the same if the request is sent again
  // Parts of its prompt that other requests may share.
  std::vector<uint64_t> prompt_parts;
  serving::Route route;  // as of the arrival of the request
  std::string service;   // chosen among the route's services
  TimePoint deadline;    // of the caller or the route, whichever is earlier

  // Waiting at the gateway for a slot.
  bool returns_as_asked = false;   // was rejected here, and came back then
  TimePoint waits_since = kNever;  // never: does not wait
  Duration waited{};               // over all attempts
  Duration backlog{};  // time until a slot may be free, as of the last attempt
  // Why it did not wait, or no longer.
  admission::WaitVerdict wait_verdict = admission::WaitVerdict::kWaits;

  // The attempt in progress.
  ExchangeId upstream;
  BackendServerId server;
  std::string address;   // of the server it was last sent to
  std::string software;  // its version
  TimePoint sent_at;
  serving::ServerUsage usage_at_send;  // of the server, before this request
  AttemptPace pace;
  bool preempted_batch = false;
  unsigned status = 0;  // in the attempt's head; zero: none yet
  http::HeaderList head;
  std::string body;  // buffered unless it is streamed
  bool received_event = false;

  // Over all attempts.
  uint32_t runs = 0;                 // attempts that may have been executed
  uint32_t unexecuted_attempts = 0;  // certainly not executed
  std::vector<BackendServerId> excluded;
  bool response_started = false;  // its head was sent to the caller
  TimePoint first_byte_at{};
  serving::EventStreamReader reader;
  std::optional<uint64_t> last_event;  // forwarded to the caller
  // Software version of the events that the caller has; empty: has none yet.
  std::string stream_software;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ONLINE_CALL_H_
