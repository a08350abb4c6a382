#ifndef KNAPWEEDSTILE_HTTP_CLIENT_REQUEST_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_REQUEST_H_

#include <string>

#include "base/id.h"
#include "base/time.h"
#include "http/header_list.h"

namespace knapweedstile::http {

struct ClientRequest {
  ExchangeId exchange;  // chosen by the asker
  std::string address;  // "IP:PORT"
  std::string method = "GET";
  std::string target = "/";
  HeaderList headers;
  std::string body;
  TimePoint deadline = kNever;
  // True: the body comes in pieces as BodyEvent; false: whole in EndEvent.
  bool stream_body = false;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_REQUEST_H_
