#include "batch/job_call.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "peers/record_codec.h"
#include "proto/job_call.pb.h"

namespace knapweedstile::gateway {
namespace {

constexpr size_t kMinPackedBytes = 1 << 10;

// The API key, and headers that apply to a single connection.
constexpr std::array<std::string_view, 6> kNotForwarded = {
    "Authorization",     "Connection", "Content-Length",
    "Transfer-Encoding", "Keep-Alive", "Host"};

bool IsForwarded(std::string_view name) {
  return std::none_of(kNotForwarded.begin(), kNotForwarded.end(),
                      [name](const auto& excluded) {
                        return boost::beast::iequals(name, excluded);
                      });
}

}  // namespace

std::string EncodeJobCall(const http::RequestEvent& request,
                          const CallerIdentity& caller) {
  wire::JobCallMessage message;
  message.set_method(request.method);
  message.set_target(request.target);
  for (const auto& [name, value] : request.headers.fields()) {
    if (!IsForwarded(name)) continue;
    wire::HeaderMessage& forwarded = *message.add_headers();
    forwarded.set_name(name);
    forwarded.set_value(value);
  }
  message.set_body(request.body);
  message.set_host(caller.host);
  message.set_request_id(caller.request_id);
  message.set_workspace(caller.workspace);
  message.set_own_interface(caller.own_interface);
  message.set_sent_to_holder(caller.sent_to_holder);
  return message.SerializeAsString();
}

std::optional<JobCall> DecodeJobCall(std::string_view bytes) {
  wire::JobCallMessage message;
  const int size = static_cast<int>(bytes.size());
  if (!message.ParseFromArray(bytes.data(), size)) return std::nullopt;
  if (message.method().empty() || message.target().empty()) {
    return std::nullopt;
  }
  JobCall call;
  call.request.method = message.method();
  call.request.target = message.target();
  for (const wire::HeaderMessage& header : message.headers()) {
    call.request.headers.Add(header.name(), header.value());
  }
  call.request.body = message.body();
  call.caller = {.host = message.host(),
                 .request_id = message.request_id(),
                 .workspace = message.workspace(),
                 .own_interface = message.own_interface(),
                 .sent_to_holder = message.sent_to_holder()};
  return call;
}

void PackResponse(http::RespondCommand& response) {
  if (response.body.size() < kMinPackedBytes) return;
  response.body = PackText(response.body);
  response.headers.Add(kPackedHeader, "deflate");
}

bool UnpackResponse(http::EndEvent& response) {
  if (response.headers.Find(kPackedHeader).empty()) return true;
  auto body = UnpackText(response.body);
  if (body) response.body = std::move(*body);
  return body.has_value();
}

}  // namespace knapweedstile::gateway
