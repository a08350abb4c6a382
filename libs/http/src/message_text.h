#ifndef KNAPWEEDSTILE_HTTP_MESSAGE_TEXT_H_
#define KNAPWEEDSTILE_HTTP_MESSAGE_TEXT_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

#include "http/client_request.h"
#include "http/header_list.h"

namespace knapweedstile::http {

// How the body of a response is delimited.
struct ResponseFraming {
  unsigned version = 11;  // as in Beast; 11 is HTTP/1.1
  bool keep_alive = true;
  bool chunked = false;
  // Length of the body when it is known in advance and not chunked.
  bool has_length = false;
  size_t length = 0;
};

// Serializes the status line and header of a response.
//
// Guards against response splitting: a header value with a line break (from a
// backend server or an operator) would let its sender add header fields or a
// second response. Such fields are omitted.
std::string ResponseHead(unsigned status, const HeaderList& headers,
                         const ResponseFraming& framing);

// Whether method, target and header fields of `request` can be sent as given.
bool IsSendable(const ClientRequest& request) noexcept;

// Serializes the request line and header, with Host and Content-Length added.
std::string RequestHead(const ClientRequest& request);

// Appends one chunk of a chunked body. `data` must not be empty: an empty chunk
// ends the body.
void AppendChunk(std::string& out, std::string_view data);
// Appends the chunk that ends a chunked body.
void AppendLastChunk(std::string& out);

HeaderList ToHeaderList(const boost::beast::http::fields& fields);

// The body of an error response, in the OpenAI format, for a request that the
// server itself rejects.
std::string ErrorBody(std::string_view type, std::string_view code,
                      std::string_view message);

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_MESSAGE_TEXT_H_
