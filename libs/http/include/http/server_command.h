#ifndef KNAPWEEDSTILE_HTTP_SERVER_COMMAND_H_
#define KNAPWEEDSTILE_HTTP_SERVER_COMMAND_H_

#include <string>
#include <variant>

#include "base/id.h"
#include "http/header_list.h"

namespace knapweedstile::http {

// Sends a complete response. The server adds Content-Length.
struct RespondCommand {
  ExchangeId exchange;
  unsigned status = 200;
  HeaderList headers;
  std::string body;
};

// Starts a chunked response (server-sent events, large pages).
struct BeginStreamCommand {
  ExchangeId exchange;
  unsigned status = 200;
  HeaderList headers;
};

// Sends one chunk of the response; the last one ends it.
struct StreamChunkCommand {
  ExchangeId exchange;
  std::string data;
  bool last = false;
};

// Closes the connection, so that the caller cannot take a truncated response
// for a complete one.
struct AbortCommand {
  ExchangeId exchange;
};

using ServerCommand = std::variant<RespondCommand, BeginStreamCommand,
                                   StreamChunkCommand, AbortCommand>;

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_SERVER_COMMAND_H_
