#ifndef KNAPWEEDSTILE_GATEWAY_JOB_CALL_H_
#define KNAPWEEDSTILE_GATEWAY_JOB_CALL_H_

#include <optional>
#include <string>
#include <string_view>

#include "callers/caller_identity.h"
#include "http/client_event.h"
#include "http/server_command.h"
#include "http/server_event.h"

namespace knapweedstile::gateway {

// A request for a batch job and the identity of its caller, as one gateway
// forwards it to another. The caller's API key is not forwarded: the gateway
// that received the request has already checked it.
struct JobCall {
  http::RequestEvent request;  // has no exchange id
  CallerIdentity caller;
};

std::string EncodeJobCall(const http::RequestEvent& request,
                          const CallerIdentity& caller);
// Returns nullopt if the bytes are not a valid call.
std::optional<JobCall> DecodeJobCall(std::string_view bytes);

// Compresses the body of a response to a forwarded call if it is large: outputs
// are a tenth of their size then.
void PackResponse(http::RespondCommand& response);
// Undoes it. False if the body is not valid.
bool UnpackResponse(http::EndEvent& response);
// Header of a compressed response.
inline constexpr char kPackedHeader[] = "Knap-Packed";

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_CALL_H_
