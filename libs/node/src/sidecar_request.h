#ifndef KNAPWEEDSTILE_NODE_SIDECAR_REQUEST_H_
#define KNAPWEEDSTILE_NODE_SIDECAR_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "engine_stream.h"
#include "http/header_list.h"
#include "knapweedstile.pb.h"

namespace knapweedstile::node {

// One request that a sidecar has taken up, from its stream's opening to its
// last event.
struct SidecarRequest {
  StreamId stream;
  pb::RunRequest message;
  TimePoint arrived_at;
  TimePoint deadline = kNever;
  // Set while the backend server runs it.
  ExchangeId exchange;
  EngineStream engine;
  // Output of the runs before the present one, from which it resumes.
  std::string text;
  uint32_t tokens = 0;
  bool started_before = false;
  // Head of the backend server's answer.
  unsigned status = 0;
  http::HeaderList headers;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_SIDECAR_REQUEST_H_
