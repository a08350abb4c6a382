#ifndef KNAPWEEDSTILE_NODE_ERROR_RESPONSE_H_
#define KNAPWEEDSTILE_NODE_ERROR_RESPONSE_H_

#include "base/id.h"
#include "http/server_command.h"

namespace knapweedstile::node {

struct ApiError;
struct CallerIdentity;

// The whole answer that carries an error: OpenAI's shape, the request's id, and
// Retry-After when the error says when to come back.
http::RespondCommand ErrorResponse(ExchangeId exchange,
                                   const CallerIdentity& identity,
                                   const ApiError& error);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ERROR_RESPONSE_H_
