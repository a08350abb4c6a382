#ifndef KNAPWEEDSTILE_KNAPCTL_HTTP_CALL_H_
#define KNAPWEEDSTILE_KNAPCTL_HTTP_CALL_H_

#include <chrono>
#include <string>

#include "http/client_event.h"
#include "http/header_list.h"

namespace knapweedstile::ctl {

// A request to a gateway; `address` is IP:PORT.
struct HttpCall {
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  http::HeaderList headers;
  std::string body;
  std::chrono::milliseconds timeout{35000};
};

// Sends one request and blocks until its response is complete or it has failed.
http::EndEvent Send(const HttpCall& call);

// Percent-encodes one path segment or query value.
std::string UrlEncode(const std::string& text);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_HTTP_CALL_H_
