#ifndef KNAPWEEDSTILE_NODE_PREPARED_REQUEST_H_
#define KNAPWEEDSTILE_NODE_PREPARED_REQUEST_H_

#include "decide/request_info.h"
#include "knapweedstile.pb.h"

namespace knapweedstile::node {

// What RequestRunner::Submit takes.
struct PreparedRequest {
  decide::RequestInfo info;
  pb::RunRequest message;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_PREPARED_REQUEST_H_
