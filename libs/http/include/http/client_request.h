#ifndef KNAPWEEDSTILE_HTTP_CLIENT_REQUEST_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_REQUEST_H_

#include <string>

#include "base/id.h"
#include "base/time.h"
#include "http/header_list.h"

namespace knapweedstile::http {

// Host and Content-Length are added when the request is sent.
struct ClientRequest {
  ExchangeId exchange;  // chosen by the requester, unique per client
  std::string address;  // "IP:PORT"
  std::string method = "GET";
  std::string target = "/";
  HeaderList headers;
  std::string body;
  TimePoint deadline = kNever;
  // True: the response body arrives in BodyEvents; false: in the EndEvent.
  bool stream_body = false;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_REQUEST_H_
