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

// Finds out once for each request who asks, whether it may, and where it goes;
// answers those that go nowhere.
//
// A key or route that is not known here may stand in a version that has not
// come yet: 401 and 404 are said only while what is known here is the present
// state; else the configuration is read again and the caller is told to come
// back. Without any configuration it is always told so.
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
    // The same calls in the product's own form.
    std::function<void(http::RequestEvent&&, const CallerIdentity&)>
        own_batches;
    // How old what is known of the configuration may be; zero: it is followed.
    std::function<Duration()> configuration_age;
    // Reads the configuration again.
    std::function<void()> reload_configuration;
  };

  // Requests that name none have ids that begin with `id_prefix`. Beyond
  // `trust_for` without news of the configuration no key is taken for valid;
  // zero: what was known last holds on.
  RequestAdmission(const serving::RouteTable& routes,
                   const workspaces::WorkspaceDirectory& workspaces,
                   workspaces::RateQuota& rate, observe::Metrics& metrics,
                   std::string id_prefix, Duration trust_for, Callbacks ports);

  void OnRequest(http::RequestEvent&& request);
  // A call on a batch job that another gateway has taken from its caller and
  // let in.
  void OnForwarded(http::RequestEvent&& request,
                   const CallerIdentity& identity);

 private:
  // Each is false when the caller has been told that the request goes nowhere.
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
  // Tells the caller to come back when the configuration has been read again.
  void RejectTemporarily(const http::RequestEvent& request,
                         const CallerIdentity& identity,
                         std::string_view cause);
  // Whether the route on which jobs of the host are handed in is public.
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
