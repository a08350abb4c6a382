#ifndef KNAPWEEDSTILE_GATEWAY_REQUEST_ADMISSION_H_
#define KNAPWEEDSTILE_GATEWAY_REQUEST_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "callers/caller_identity.h"
#include "callers/error_response.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "observe/metrics.h"
#include "serving/route.h"
#include "serving/route_table.h"
#include "users_platform/batch_calls.h"
#include "workspaces/rate_quota.h"
#include "workspaces/workspace_directory.h"

namespace knapweedstile::gateway {

// Authenticates, authorizes and routes each request once, and responds to those
// that it rejects.
//
// A key or route that this gateway does not have may be in a version of the
// configuration that it has not read yet. It therefore responds with 401 or 404
// only while its configuration is up to date; otherwise it reads the
// configuration again and asks the caller to retry. Without any configuration
// it always asks the caller to retry.
class RequestAdmission {
 public:
  struct Callbacks {
    std::function<void(http::ServerCommand&&)> to_caller;
    std::function<void(http::RequestEvent&&, const serving::Route&,
                       const CallerIdentity&, bool less_urgent)>
        online;
    std::function<void(http::RequestEvent&&, const serving::Route&,
                       const CallerIdentity&)>
        submit_job;
    std::function<void(http::RequestEvent&&, const users_platform::BatchCall&,
                       const CallerIdentity&)>
        call_job;
    // Batch calls of the product's own interface.
    std::function<void(http::RequestEvent&&, const CallerIdentity&)>
        own_batches;
    // How outdated the configuration may be; zero: it is up to date.
    std::function<Duration()> configuration_age;
    // Reads the configuration again.
    std::function<void()> reload_configuration;
  };

  // `id_prefix` begins the generated IDs of requests that have none. No key is
  // accepted once the configuration may be outdated for longer than
  // `trust_for`; zero: the last configuration stays valid.
  RequestAdmission(const serving::RouteTable& routes,
                   const workspaces::WorkspaceDirectory& workspaces,
                   workspaces::RateQuota& rate, observe::Metrics& metrics,
                   std::string id_prefix, Duration trust_for,
                   Callbacks callbacks);

  void OnRequest(http::RequestEvent&& request);
  // Handles a call on a batch job that a peer has received from its caller,
  // authorized and forwarded.
  void OnForwarded(http::RequestEvent&& request,
                   const CallerIdentity& identity);

 private:
  // Each returns false if it has rejected the request and responded.
  bool Authorize(const http::RequestEvent& request,
                 const CallerIdentity& identity, bool is_public);
  bool CheckModel(const http::RequestEvent& request,
                  const CallerIdentity& identity);
  bool CheckRate(const http::RequestEvent& request,
                 const CallerIdentity& identity);
  void RejectUnknownRoute(const http::RequestEvent& request,
                          const CallerIdentity& identity);
  void Reject(const http::RequestEvent& request, const CallerIdentity& identity,
              const ErrorResponse& error, std::string_view cause);
  // Reads the configuration again and asks the caller to retry after that.
  void RejectTemporarily(const http::RequestEvent& request,
                         const CallerIdentity& identity,
                         std::string_view cause);
  // Whether the host has a public route for submitting batch jobs.
  bool HasPublicBatchRoute(std::string_view host) const;

  const serving::RouteTable& routes_;
  const workspaces::WorkspaceDirectory& workspaces_;
  workspaces::RateQuota& rate_;
  observe::Metrics& metrics_;
  std::string id_prefix_;
  Duration trust_for_;
  Callbacks callbacks_;
  uint64_t generated_ids_ = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_REQUEST_ADMISSION_H_
