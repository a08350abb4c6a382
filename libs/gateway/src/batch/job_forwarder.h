#ifndef KNAPWEEDSTILE_GATEWAY_JOB_FORWARDER_H_
#define KNAPWEEDSTILE_GATEWAY_JOB_FORWARDER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "callers/caller_identity.h"
#include "http/client.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "observe/metrics.h"

namespace knapweedstile::gateway {

// Forwards callers' requests for batch jobs to the gateways that hold the job,
// and their responses back to the callers.
//
// Every request may be repeated: the job's id makes a second submission
// idempotent. If a holder is unreachable or does not respond, the next one is
// tried. The caller gets 503 only if no holder can have accepted the request,
// and otherwise 504.
class JobForwarder {
 public:
  struct Callbacks {
    std::function<void(http::ServerCommand&&)> to_caller;
    // Addresses of the gateways that hold the job, in the order in which to try
    // them.
    std::function<std::vector<std::string>(std::string_view job)> holders;
  };

  // `max_calls`: forwarded at a time; further ones fail at once.
  JobForwarder(boost::asio::io_context& io, size_t max_calls,
               observe::Metrics& metrics, Callbacks callbacks);

  static bool IsTarget(std::string_view target);
  // HTTP status that a gateway returns if it does not hold the job.
  static constexpr unsigned kMisdirected = 421;

  void Forward(const http::RequestEvent& request, const std::string& job,
               const CallerIdentity& caller);
  // Forwards a read to those holders at `addresses` that were not unreachable
  // lately. Calls `unanswered` if none of them can answer it.
  void ForwardTo(std::vector<std::string> addresses,
                 const http::RequestEvent& request, const std::string& job,
                 const CallerIdentity& caller,
                 std::function<void()> unanswered);
  void OnCallerDisconnected(ExchangeId caller);

 private:
  struct Call {
    ExchangeId caller;
    std::string job;
    std::string message;
    std::string current_holder;        // address of the holder being tried
    std::vector<std::string> holders;  // not yet tried, in reverse order
    bool maybe_accepted = false;
    TimePoint give_up_at;
    std::function<void()> unanswered;  // if set, called instead of a response
  };

  void Start(Call&& call);

  void TryNext(Call&& call);
  void OnEvent(http::ClientEvent&& event);
  void Respond(const Call& call, http::EndEvent&& answer);
  void GiveUp(const Call& call);
  bool IsUnreachable(const std::string& address, TimePoint now);

  size_t max_calls_;
  Callbacks callbacks_;
  observe::Metrics& metrics_;
  uint64_t last_exchange_ = 0;
  std::unordered_map<ExchangeId, Call> calls_;
  // Until that time, holders that were unreachable are tried last.
  std::unordered_map<std::string, TimePoint> unreachable_until_;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_FORWARDER_H_
