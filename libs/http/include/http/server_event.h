#ifndef KNAPWEEDSTILE_HTTP_SERVER_EVENT_H_
#define KNAPWEEDSTILE_HTTP_SERVER_EVENT_H_

#include <string>
#include <variant>

#include "base/id.h"
#include "base/time.h"
#include "http/header_list.h"

namespace knapweedstile::http {

// A complete request was read within the limits.
struct RequestEvent {
  ExchangeId exchange;
  std::string method;
  std::string target;  // path and query as sent
  HeaderList headers;
  std::string body;
  TimePoint received_at;  // when its first byte was read
};

// The caller disconnected, or was disconnected for reading too slowly, before
// the response was complete.
struct DisconnectEvent {
  ExchangeId exchange;
};

using ServerEvent = std::variant<RequestEvent, DisconnectEvent>;

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_SERVER_EVENT_H_
