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
  // Name of a header field of this request that the server echoes. A response
  // in which it has another value answers an earlier request on the connection
  // and is skipped. Empty: every response is taken for this request's.
  std::string echoed_field;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_REQUEST_H_
