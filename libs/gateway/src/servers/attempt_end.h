#ifndef KNAPWEEDSTILE_GATEWAY_ATTEMPT_END_H_
#define KNAPWEEDSTILE_GATEWAY_ATTEMPT_END_H_

#include <string_view>

#include "base/enum_names.h"
#include "http/client_event.h"
#include "http/header_list.h"
#include "serving/event_stream_reader.h"

namespace knapweedstile::gateway {

// Reasons of attempts that ended without a complete response, besides the
// outcomes of the HTTP client.
// The server's process was replaced.
inline constexpr std::string_view kServerRestarted = "server_restarted";
// A stream without a length ended in the middle of an event, or before any.
inline constexpr std::string_view kPartialEvent = "partial_event";
// A stream brought bytes that are no events.
inline constexpr std::string_view kMalformedStream = "malformed_stream";
// The response is unsigned or does not name the request.
inline constexpr std::string_view kForeignAnswer = "foreign_answer";

// Whether the server may have crashed.
inline bool IsCrash(std::string_view reason) {
  return reason == NameOf(http::ClientOutcome::kLost) ||
         reason == kServerRestarted || reason == kPartialEvent;
}

// Whether a stream that has ended was broken off. Without a length or chunks,
// the end of the connection is all that tells the end of the stream.
inline bool EndsEarly(const http::HeaderList& head,
                      const serving::EventStreamReader& reader,
                      bool received_event) {
  const bool has_length = !head.Find("Content-Length").empty() ||
                          !head.Find("Transfer-Encoding").empty();
  return reader.HasIncompleteEvent() || (!has_length && !received_event);
}

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ATTEMPT_END_H_
