#include "http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "http/client.h"

namespace knapweedstile::ctl {

http::EndEvent Send(const HttpCall& call) {
  boost::asio::io_context io(1);
  http::EndEvent end;
  http::Client client(io, http::ClientSettings(),
                      [&](http::ClientEvent&& event) {
                        if (auto* last = std::get_if<http::EndEvent>(&event)) {
                          end = std::move(*last);
                          io.stop();
                        }
                      });
  http::ClientRequest request;
  request.exchange = ExchangeId(1);
  request.address = call.address;
  request.method = call.method;
  request.target = call.target;
  request.headers = call.headers;
  request.body = call.body;
  request.deadline = MonotonicNow() + call.timeout;
  client.Send(std::move(request));
  io.run();
  return end;
}

std::string UrlEncode(const std::string& text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

}  // namespace knapweedstile::ctl
