#include "message_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include "http/message_syntax.h"

namespace knapweedstile::http {
namespace {

namespace beast_http = boost::beast::http;

boost::beast::string_view View(std::string_view text) noexcept {
  return {text.data(), text.size()};
}

template <typename Buffers>
void AppendBuffers(std::string& out, const Buffers& buffers) {
  for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
    out.append(static_cast<const char*>(buffer.data()), buffer.size());
  }
}

void AddFields(beast_http::fields& fields, const HeaderList& headers) {
  for (const auto& [name, value] : headers.fields()) {
    if (IsValidField(name, value)) fields.insert(View(name), View(value));
  }
}

template <bool IsRequest>
std::string HeadText(
    beast_http::message<IsRequest, beast_http::empty_body>& message) {
  std::string out;
  beast_http::serializer<IsRequest, beast_http::empty_body> serializer(message);
  serializer.split(true);
  boost::beast::error_code ec;
  while (!ec && !serializer.is_header_done()) {
    serializer.next(ec, [&](boost::beast::error_code&, const auto& buffers) {
      AppendBuffers(out, buffers);
      serializer.consume(boost::beast::buffer_bytes(buffers));
    });
  }
  return out;
}

}  // namespace

std::string ResponseHead(unsigned status, const HeaderList& headers,
                         const ResponseFraming& framing) {
  beast_http::response<beast_http::empty_body> message;
  message.version(framing.version);
  message.result(status);
  AddFields(message, headers);
  message.erase(beast_http::field::content_length);
  message.erase(beast_http::field::transfer_encoding);
  message.erase(beast_http::field::connection);
  if (framing.chunked) {
    message.chunked(true);
  } else if (framing.has_length) {
    message.content_length(framing.length);
  }
  message.keep_alive(framing.keep_alive);
  return HeadText(message);
}

bool IsSendable(const ClientRequest& request) noexcept {
  const auto& fields = request.headers.fields();
  return IsValidMethod(request.method) && IsValidTarget(request.target) &&
         std::all_of(fields.begin(), fields.end(), [](const auto& field) {
           return IsValidField(field.first, field.second);
         });
}

std::string RequestHead(const ClientRequest& request) {
  beast_http::request<beast_http::empty_body> message;
  message.version(11);
  message.method_string(View(request.method));
  message.target(View(request.target));
  if (request.headers.Find("Host").empty()) {
    message.set(beast_http::field::host, View(request.address));
  }
  AddFields(message, request.headers);
  message.erase(beast_http::field::transfer_encoding);
  message.erase(beast_http::field::content_length);
  message.erase(beast_http::field::connection);
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) message.content_length(request.body.size());
  return HeadText(message);
}

void AppendChunk(std::string& out, std::string_view data) {
  AppendBuffers(out, beast_http::make_chunk(
                         boost::asio::const_buffer(data.data(), data.size())));
}

void AppendLastChunk(std::string& out) {
  AppendBuffers(out, beast_http::make_chunk_last());
}

HeaderList ToHeaderList(const beast_http::fields& fields) {
  HeaderList headers;
  for (const auto& field : fields) {
    headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  return headers;
}

std::string ErrorBody(std::string_view type, std::string_view code,
                      std::string_view message) {
  return fmt::format(
      R"({{"error":{{"type":"{}","code":"{}","message":"{}","param":null,)"
      R"("request_id":null,"not_run":true}}}})",
      type, code, message);
}

}  // namespace knapweedstile::http
