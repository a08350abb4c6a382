#include "online_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "soak_versions.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;

// Time bounds that the deployment promises.
constexpr milliseconds kResponseBound{500};  // after the deadline
constexpr milliseconds kCancelBound{500};
constexpr milliseconds kDrainBound{2000};
constexpr milliseconds kConnectionLossBound{200};
constexpr milliseconds kConfigurationOrderBound{250};
constexpr milliseconds kStreamTimeout{3000};
constexpr milliseconds kUnaryTimeout{2000};
constexpr size_t kMaxAttempts = 2;

// Statuses that promise that the request has not run and will not run.
bool PromisesNotRun(unsigned status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

// Time from sending the request to its deadline.
milliseconds TimeLimitOf(const OnlineRequest& request) {
  return std::min(request.budget,
                  request.unary() ? kUnaryTimeout : kStreamTimeout);
}

std::string Describe(const OnlineRequest& request) {
  return fmt::format(
      "{} {} at {}: {} {} {} after {} of {} ms", request.id, request.target,
      request.gateway, NameOf(request.end.outcome), request.end.status,
      request.end.message, ToMillis(request.ended_at - request.sent_at),
      TimeLimitOf(request).count());
}

}  // namespace

OnlineChecker::OnlineChecker(const RunIndex& runs,
                             const FaultWindows& fault_windows,
                             const OperationsLog& operations,
                             int events_per_stream, milliseconds slack,
                             Findings& findings)
    : runs_(runs),
      fault_windows_(fault_windows),
      operations_(operations),
      events_per_stream_(events_per_stream),
      slack_(slack),
      findings_(findings) {}

void OnlineChecker::Check(const std::vector<OnlineRequest>& requests) {
  for (const OnlineRequest& request : requests) {
    CheckRuns(request);
    CheckDrain(request);
    if (request.cancelled()) {
      CheckCancellation(request);
      continue;
    }
    CheckResponse(request);
    CheckRejection(request);
    CheckDeadline(request);
    CheckPlannedStop(request);
    if (request.kind == OnlineKind::kExtra) CheckRoute(request);
  }
  CheckNoConfigurationRollback(requests);
  CheckVersions(requests);
}

void OnlineChecker::CheckRuns(const OnlineRequest& request) {
  const auto& runs = runs_.Of(request.id);
  const size_t most = request.repeatable() ? kMaxAttempts : 1;
  findings_.Check(
      "runs no more often than allowed", runs.size() <= most,
      fmt::format("{} ran {} times", Describe(request), runs.size()));
  for (const auto* run : runs) {
    findings_.Check(
        "is passed on unchanged",
        run->target == request.target && run->body == request.body,
        fmt::format("{} ran as {}", Describe(request), run->target));
  }
}

std::string OnlineChecker::CompleteBody(const OnlineRequest& request,
                                        std::string_view version) const {
  if (request.unary()) return "plain answer of " + request.id;
  std::string body;
  for (int event = request.after_event + 1; event <= events_per_stream_;
       ++event) {
    body += fmt::format("id: {}\ndata: word {} of {} at {}\n\n", event, event,
                        request.id, version);
  }
  return body;
}

// A stream continues, over all returns of its caller, at the software version
// of its first event.
void OnlineChecker::CheckVersions(const std::vector<OnlineRequest>& requests) {
  std::map<std::string, std::string> versions;  // by id of the first request
  for (const OnlineRequest& request : requests) {
    const size_t at = request.end.body.find(" at v");
    if (request.unary() || at == std::string::npos) continue;
    const std::string version =
        request.end.body.substr(at, request.end.body.find('\n', at) - at);
    const std::string& stream =
        request.continues() ? request.resumes : request.id;
    const auto [known, is_first] = versions.emplace(stream, version);
    if (is_first) continue;
    findings_.Check("a stream keeps to one software version",
                    known->second == version,
                    fmt::format("{} of {}: {}, {} before", request.id, stream,
                                version, known->second));
  }
}

void OnlineChecker::CheckResponse(const OnlineRequest& request) {
  const auto& end = request.end;
  const auto& runs = runs_.Of(request.id);
  if (end.status / 100 == 2) {
    // A complete response has the body that belongs to the request, of one
    // software version.
    const auto any_version = [&](const auto& matches) {
      return std::any_of(kSoftwareVersions.begin(), kSoftwareVersions.end(),
                         [&](const char* version) {
                           return matches(CompleteBody(request, version));
                         });
    };
    findings_.Check("a whole answer is the caller's own",
                    !request.complete() || any_version([&](const auto& body) {
                      return end.body == body;
                    }),
                    Describe(request) + " got: " + end.body);
    // An incomplete response is a prefix of that body.
    findings_.Check("a cut answer holds nothing foreign",
                    any_version([&](const auto& body) {
                      return body.starts_with(end.body);
                    }),
                    Describe(request) + " got: " + end.body);
    // The response carries the signature of a server that ran the request.
    findings_.Check(
        "an answer bears its server's signature",
        std::any_of(runs.begin(), runs.end(),
                    [&](const auto* run) {
                      return end.headers.Find("Response-Signature") ==
                             "signed-by-" + run->instance;
                    }),
        Describe(request));
    return;
  }
  const std::string_view signature = end.headers.Find("Response-Signature");
  findings_.Check("a signed failure is its server's",
                  signature.empty() || std::any_of(runs.begin(), runs.end(),
                                                   [&](const auto* run) {
                                                     return run->status ==
                                                            end.status;
                                                   }),
                  Describe(request));
  const bool denied = end.status / 100 == 4 && !PromisesNotRun(end.status);
  // WorkspaceChecker checks keys that were added or removed during the request.
  if (!operations_.KeyInEach(request.key, true, request.sent_at,
                             request.ended_at, slack_)) {
    return;
  }
  // A request with a valid key gets a 4xx status only if the status promises
  // that it has not run, its server signed the response, or its route may have
  // been removed.
  findings_.Check(
      "a proper request is not denied",
      !denied || request.kind == OnlineKind::kExtra || !signature.empty(),
      Describe(request));
}

void OnlineChecker::CheckRejection(const OnlineRequest& request) {
  if (!request.complete() || !PromisesNotRun(request.end.status)) return;
  // A request whose status promises that it has not run did not run.
  findings_.Check("not run is true", runs_.Of(request.id).empty(),
                  fmt::format("{} ran {} times", Describe(request),
                              runs_.Of(request.id).size()));
}

void OnlineChecker::CheckDeadline(const OnlineRequest& request) {
  if (!fault_windows_.FaultFree(request.gateway, request.sent_at,
                                request.ended_at)) {
    return;
  }
  const milliseconds limit = TimeLimitOf(request);
  const auto age = request.ended_at - request.sent_at;
  findings_.Check("an answer comes by its deadline",
                  age <= limit + kResponseBound + slack_, Describe(request));
}

void OnlineChecker::CheckCancellation(const OnlineRequest& request) {
  const TimePoint bound = request.cancelled_at + kCancelBound + slack_;
  if (!fault_windows_.FaultFree(request.gateway, request.sent_at, bound))
    return;
  for (const auto* run : runs_.Of(request.id)) {
    // Only streams record when a run ended. Unary requests and error responses
    // are answered at once.
    const bool ended_in_time =
        run->ended_at <= bound || run->status != 0 || request.unary();
    findings_.Check("a cancelled request ends at its server",
                    ended_in_time && run->started_at <= bound,
                    Describe(request));
  }
}

void OnlineChecker::CheckPlannedStop(const OnlineRequest& request) {
  for (const OperationsLog::Stop& stop : operations_.stops) {
    const bool concerned = stop.gateway == request.gateway &&
                           request.ended_at >= stop.requested_at &&
                           request.sent_at <= stop.ended_at;
    if (!concerned || !fault_windows_.FaultFreeEverywhere(request.sent_at,
                                                          request.ended_at)) {
      continue;
    }
    const bool ran = !runs_.Of(request.id).empty();
    const bool late =
        request.ended_at - request.sent_at > kConnectionLossBound + slack_;
    // A request that ended at its own deadline was not cut by the stop.
    const bool broken = request.end.outcome == http::ClientOutcome::kLost ||
                        request.end.outcome == http::ClientOutcome::kInvalid;
    const bool cut =
        broken && request.ended_at < request.sent_at + TimeLimitOf(request);
    findings_.Check("a planned stop cuts no request", !cut || (!ran && !late),
                    Describe(request));
  }
}

bool OnlineChecker::RoutePresenceIsAlways(const std::string& route,
                                          bool present, TimePoint from,
                                          TimePoint until) const {
  return operations_.InEach(from, until, slack_, [&](const auto& version) {
    return version.extra_routes.contains(route) == present;
  });
}

void OnlineChecker::CheckRoute(const OnlineRequest& request) {
  if (!request.complete() ||
      !fault_windows_.FaultFree(request.gateway, request.sent_at,
                                request.ended_at)) {
    return;
  }
  const bool absent = request.end.status == 404;
  if (RoutePresenceIsAlways(request.route, true, request.sent_at,
                            request.ended_at)) {
    findings_.Check("a new route is in force in time", !absent,
                    Describe(request));
  }
  if (RoutePresenceIsAlways(request.route, false, request.sent_at,
                            request.ended_at)) {
    findings_.Check("a removed route is out of force in time",
                    absent && runs_.Of(request.id).empty(), Describe(request));
  }
}

// Each extra route is added once and removed once. Responses of one gateway
// process may therefore change from 404 to 200 and back to 404 only once. Any
// other change means that the gateway has reverted to an older configuration,
// reported as "a configuration is not taken back".
void OnlineChecker::CheckNoConfigurationRollback(
    const std::vector<OnlineRequest>& requests) {
  struct Seen {
    TimePoint served_at = kNever;   // first
    TimePoint removed_at = kNever;  // first 404 after it was removed
  };
  std::map<std::pair<std::string, std::string>, Seen> seen;
  for (const OnlineRequest& request : requests) {
    if (request.kind != OnlineKind::kExtra || !request.complete()) continue;
    Seen& route =
        seen[{request.gateway + "#" + std::to_string(request.process_start),
              request.route}];
    const bool absent = request.end.status == 404;
    const bool served = request.end.status == 200;
    const auto after = [&](TimePoint event) {
      return event != kNever &&
             request.sent_at > event + kConfigurationOrderBound;
    };
    if (absent && RoutePresenceIsAlways(request.route, true, request.sent_at,
                                        request.ended_at)) {
      findings_.Check("a configuration is not taken back",
                      !after(route.served_at), Describe(request));
    }
    if (served) {
      findings_.Check("a configuration is not taken back",
                      !after(route.removed_at), Describe(request));
      route.served_at = std::min(route.served_at, request.ended_at);
    } else if (absent && route.served_at != kNever) {
      route.removed_at = std::min(route.removed_at, request.ended_at);
    }
  }
}

void OnlineChecker::CheckDrain(const OnlineRequest& request) {
  for (const auto* run : runs_.Of(request.id)) {
    const auto left = operations_.leaving.find(run->instance);
    if (left == operations_.leaving.end()) continue;
    if (!fault_windows_.FaultFree(request.gateway, left->second,
                                  run->started_at)) {
      continue;
    }
    findings_.Check("a leaving server gets no new request",
                    run->started_at <= left->second + kDrainBound + slack_,
                    Describe(request) + " at " + run->instance);
  }
}

}  // namespace knapweedstile::soak
