#ifndef KNAPWEEDSTILE_HTTP_SERVER_COMMAND_H_
#define KNAPWEEDSTILE_HTTP_SERVER_COMMAND_H_

#include <string>
#include <variant>

#include "base/id.h"
#include "http/header_list.h"

namespace knapweedstile::http {

// A whole response. Content-Length is added by the server.
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

// One piece of it; the last one ends the response.
struct StreamChunkCommand {
  ExchangeId exchange;
  std::string data;
  bool last = false;
};

// Cuts the connection: the response cannot be completed truthfully.
struct AbortCommand {
  ExchangeId exchange;
};

using ServerCommand = std::variant<RespondCommand, BeginStreamCommand,
                                   StreamChunkCommand, AbortCommand>;

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_SERVER_COMMAND_H_
