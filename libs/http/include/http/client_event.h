#ifndef KNAPWEEDSTILE_HTTP_CLIENT_EVENT_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_EVENT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/enum_names.h"
#include "base/id.h"
#include "http/header_list.h"

namespace knapweedstile::http {

enum class ClientOutcome {
  kComplete,  // the full response arrived
  kNotSent,   // no byte of the request was written: it did not run
  kLost,      // bytes were written, no complete response: it may have run
  kDeadline,  // bytes were written, the deadline passed: it may have run
  // Bytes were written; what the server sends is not a response, or exceeds a
  // limit: it may have run.
  kInvalid,
  // The request can't be sent to any server (see message_syntax.h): it did not
  // run. No fault of the server.
  kUnsendable,
};

// Status line and headers. Sent only when stream_body is set.
struct HeadEvent {
  ExchangeId exchange;
  unsigned status = 0;
  HeaderList headers;
};

// A part of the body. Sent only when stream_body is set.
struct BodyEvent {
  ExchangeId exchange;
  std::string data;
};

// The last event of an exchange that was not cancelled.
struct EndEvent {
  ExchangeId exchange;
  ClientOutcome outcome = ClientOutcome::kNotSent;
  unsigned status = 0;  // zero when no valid response head arrived
  HeaderList headers;
  std::string body;     // full body when not stream_body
  std::string message;  // for humans, when not kComplete
  // Responses to earlier requests that arrived in place of this one's.
  uint32_t skipped_responses = 0;
};

using ClientEvent = std::variant<HeadEvent, BodyEvent, EndEvent>;

}  // namespace knapweedstile::http

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 6>
    kEnumNames<http::ClientOutcome> = {"complete", "not_sent", "lost",
                                       "deadline", "invalid",  "unsendable"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_EVENT_H_
