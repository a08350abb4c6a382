#ifndef KNAPWEEDSTILE_HTTP_CLIENT_EVENT_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_EVENT_H_

#include <array>
#include <string>
#include <string_view>
#include <variant>

#include "base/enum_names.h"
#include "base/id.h"
#include "http/header_list.h"

namespace knapweedstile::http {

enum class ClientOutcome {
  kComplete,  // the whole response arrived
  kNotSent,   // no connection: no byte of the request was written
  kLost,      // written at least in part, but no whole response: unknown
  kDeadline,  // the deadline passed after bytes were written: unknown
};

// Only for stream_body: status line and headers.
struct HeadEvent {
  ExchangeId exchange;
  unsigned status = 0;
  HeaderList headers;
};

struct BodyEvent {
  ExchangeId exchange;
  std::string data;
};

// Always the last one, unless the asker cancelled.
struct EndEvent {
  ExchangeId exchange;
  ClientOutcome outcome = ClientOutcome::kNotSent;
  unsigned status = 0;  // zero when no head arrived
  HeaderList headers;
  std::string body;     // whole body when not stream_body
  std::string message;  // for people, when not kComplete
};

using ClientEvent = std::variant<HeadEvent, BodyEvent, EndEvent>;

}  // namespace knapweedstile::http

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<http::ClientOutcome> = {"complete", "not_sent", "lost",
                                       "deadline"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_EVENT_H_
