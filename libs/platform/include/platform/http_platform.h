#ifndef KNAPWEEDSTILE_PLATFORM_HTTP_PLATFORM_H_
#define KNAPWEEDSTILE_PLATFORM_HTTP_PLATFORM_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_answer.h"
#include "platform/store_request.h"

namespace knapweedstile::platform {

// The adapter to the platform's object API and VM list: JSON over HTTP
// (docs/design/protocols.md). Lives on the platform thread, that of `io`.
// Another platform is met by another class with the same two members; nothing
// else knows the form of its calls.
class HttpPlatform {
 public:
  using AnswerSink = std::function<void(StoreAnswer&&)>;

  // `addresses`: "IP:PORT" of the platform's servers, tried in turn when one
  // cannot be reached.
  HttpPlatform(boost::asio::io_context& io, std::vector<std::string> addresses,
               AnswerSink sink);
  ~HttpPlatform();
  HttpPlatform(const HttpPlatform&) = delete;
  HttpPlatform& operator=(const HttpPlatform&) = delete;

  // Exactly one answer follows. Nothing is sent again here: whether a call may
  // be repeated is decided by who asked.
  void Call(StoreRequest&& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::platform

#endif  // KNAPWEEDSTILE_PLATFORM_HTTP_PLATFORM_H_
