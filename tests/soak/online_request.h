#ifndef KNAPWEEDSTILE_SOAK_ONLINE_REQUEST_H_
#define KNAPWEEDSTILE_SOAK_ONLINE_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/time.h"
#include "http/client_event.h"

namespace knapweedstile::soak {

enum class OnlineKind : uint8_t {
  kQuery,  // a stream that may not be repeated
  kReply,  // a stream that may be resumed
  kPing,   // idempotent
  kBook,   // may run once only
  kExtra,  // a stream on a route that is added and removed during the run
};

// One request of a caller, with its times and its response.
struct OnlineRequest {
  std::string id;
  OnlineKind kind = OnlineKind::kQuery;
  std::string route;  // for kExtra
  std::string gateway;
  int process_start = 0;  // number of gateway process starts when sent
  std::string target;
  std::string body;
  std::string prompt;  // its parts
  std::string key;
  // The caller has the events of a stream up to this one; `resumes` brought the
  // first of them. Zero: it begins a stream.
  int after_event = 0;
  std::string resumes;
  std::chrono::milliseconds budget{0};
  TimePoint sent_at{};
  TimePoint cancelled_at = kNever;
  TimePoint ended_at = kNever;
  http::EndEvent end;

  // Answered with a single body instead of an event stream.
  bool unary() const noexcept {
    return kind == OnlineKind::kPing || kind == OnlineKind::kBook;
  }
  bool repeatable() const noexcept {
    return kind == OnlineKind::kPing || kind == OnlineKind::kReply;
  }
  bool continues() const noexcept { return after_event > 0; }
  bool cancelled() const noexcept { return cancelled_at != kNever; }
  bool complete() const noexcept {
    return end.outcome == http::ClientOutcome::kComplete;
  }
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_ONLINE_REQUEST_H_
