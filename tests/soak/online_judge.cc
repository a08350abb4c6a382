#include "online_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;

// Bounds of the deployment.
constexpr milliseconds kAnswerBound{500};  // after the deadline
constexpr milliseconds kCancelBound{500};
constexpr milliseconds kDrainBound{2000};
constexpr milliseconds kLossBound{200};
constexpr milliseconds kRegressBound{250};
constexpr milliseconds kStreamTimeout{3000};
constexpr milliseconds kPlainTimeout{2000};
constexpr size_t kMostAttempts = 2;

// Statuses that promise that the request has not run and never will.
bool PromisesNotRun(unsigned status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

// How long the request may be kept.
milliseconds LimitOf(const OnlineRequest& request) {
  return std::min(request.budget,
                  request.plain() ? kPlainTimeout : kStreamTimeout);
}

std::string Describe(const OnlineRequest& request) {
  return fmt::format(
      "{} {} at {}: {} {} {} after {} of {} ms", request.id, request.target,
      request.gateway, NameOf(request.end.outcome), request.end.status,
      request.end.message, ToMillis(request.ended_at - request.sent_at),
      LimitOf(request).count());
}

}  // namespace

OnlineJudge::OnlineJudge(const RunIndex& runs, const Disturbances& disturbances,
                         const OperationsLog& operations, int events,
                         milliseconds slack, Findings& findings)
    : runs_(runs),
      disturbances_(disturbances),
      operations_(operations),
      events_(events),
      slack_(slack),
      findings_(findings) {}

void OnlineJudge::Judge(const std::vector<OnlineRequest>& requests) {
  for (const OnlineRequest& request : requests) {
    JudgeRuns(request);
    JudgeDrain(request);
    if (request.cancelled()) {
      JudgeCancel(request);
      continue;
    }
    JudgeAnswer(request);
    JudgeRefusal(request);
    JudgeTime(request);
    JudgeStop(request);
    if (request.kind == OnlineKind::kExtra) JudgeRoute(request);
  }
  JudgeRegress(requests);
}

void OnlineJudge::JudgeRuns(const OnlineRequest& request) {
  const auto& runs = runs_.Of(request.id);
  const size_t most = request.repeatable() ? kMostAttempts : 1;
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

std::string OnlineJudge::WholeBody(const OnlineRequest& request) const {
  if (request.plain()) return "plain answer of " + request.id;
  std::string body;
  for (int event = 1; event <= events_; ++event) {
    body += fmt::format("id: {}\ndata: word {} of {}\n\n", event, event,
                        request.id);
  }
  return body;
}

void OnlineJudge::JudgeAnswer(const OnlineRequest& request) {
  const auto& end = request.end;
  const auto& runs = runs_.Of(request.id);
  if (end.status / 100 == 2) {
    const std::string body = WholeBody(request);
    findings_.Check("a whole answer is the caller's own",
                    !request.whole() || end.body == body,
                    Describe(request) + " got: " + end.body);
    findings_.Check("a cut answer holds nothing foreign",
                    body.starts_with(end.body),
                    Describe(request) + " got: " + end.body);
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
  // Keys that came or went meanwhile are judged apart (workspace_judge.h).
  if (!operations_.KeyInEach(request.key, true, request.sent_at,
                             request.ended_at, slack_)) {
    return;
  }
  findings_.Check(
      "a proper request is not denied",
      !denied || request.kind == OnlineKind::kExtra || !signature.empty(),
      Describe(request));
}

void OnlineJudge::JudgeRefusal(const OnlineRequest& request) {
  if (!request.whole() || !PromisesNotRun(request.end.status)) return;
  findings_.Check("not run is true", runs_.Of(request.id).empty(),
                  fmt::format("{} ran {} times", Describe(request),
                              runs_.Of(request.id).size()));
}

void OnlineJudge::JudgeTime(const OnlineRequest& request) {
  if (!disturbances_.Calm(request.gateway, request.sent_at, request.ended_at)) {
    return;
  }
  const milliseconds limit = LimitOf(request);
  const auto age = request.ended_at - request.sent_at;
  findings_.Check("an answer comes by its deadline",
                  age <= limit + kAnswerBound + slack_, Describe(request));
}

void OnlineJudge::JudgeCancel(const OnlineRequest& request) {
  const TimePoint bound = request.cancelled_at + kCancelBound + slack_;
  if (!disturbances_.Calm(request.gateway, request.sent_at, bound)) return;
  for (const auto* run : runs_.Of(request.id)) {
    const bool left =
        run->ended_at <= bound || run->status != 0 || request.plain();
    findings_.Check("a cancelled request ends at its server",
                    left && run->began_at <= bound, Describe(request));
  }
}

void OnlineJudge::JudgeStop(const OnlineRequest& request) {
  for (const OperationsLog::Stop& stop : operations_.stops) {
    const bool concerned = stop.gateway == request.gateway &&
                           request.ended_at >= stop.asked_at &&
                           request.sent_at <= stop.ended_at;
    if (!concerned ||
        !disturbances_.CalmEverywhere(request.sent_at, request.ended_at)) {
      continue;
    }
    const bool ran = !runs_.Of(request.id).empty();
    const bool late = request.ended_at - request.sent_at > kLossBound + slack_;
    // What is cut at its own deadline is not cut by the stop.
    const bool cut = request.end.outcome == http::ClientOutcome::kLost &&
                     request.ended_at < request.sent_at + LimitOf(request);
    findings_.Check("a planned stop cuts no request", !cut || (!ran && !late),
                    Describe(request));
  }
}

// Whether the route is `present` in every configuration that may be in force
// between the two moments.
bool OnlineJudge::RouteInEach(const std::string& route, bool present,
                              TimePoint from, TimePoint until) const {
  return operations_.InEach(from, until, slack_, [&](const auto& version) {
    return version.extra_routes.contains(route) == present;
  });
}

void OnlineJudge::JudgeRoute(const OnlineRequest& request) {
  if (!request.whole() ||
      !disturbances_.Calm(request.gateway, request.sent_at, request.ended_at)) {
    return;
  }
  const bool absent = request.end.status == 404;
  if (RouteInEach(request.route, true, request.sent_at, request.ended_at)) {
    findings_.Check("a new route is in force in time", !absent,
                    Describe(request));
  }
  if (RouteInEach(request.route, false, request.sent_at, request.ended_at)) {
    findings_.Check("a removed route is out of force in time",
                    absent && runs_.Of(request.id).empty(), Describe(request));
  }
}

// Each extra route is added once and removed once: at one process its answers
// may go from 404 to served to 404, never back.
void OnlineJudge::JudgeRegress(const std::vector<OnlineRequest>& requests) {
  struct Seen {
    TimePoint served_at = kNever;   // first
    TimePoint removed_at = kNever;  // first 404 after it was removed
  };
  std::map<std::pair<std::string, std::string>, Seen> seen;
  for (const OnlineRequest& request : requests) {
    if (request.kind != OnlineKind::kExtra || !request.whole()) continue;
    Seen& route = seen[{request.gateway + "#" + std::to_string(request.start),
                        request.route}];
    const bool absent = request.end.status == 404;
    const bool served = request.end.status == 200;
    const auto after = [&](TimePoint event) {
      return event != kNever && request.sent_at > event + kRegressBound;
    };
    if (absent &&
        RouteInEach(request.route, true, request.sent_at, request.ended_at)) {
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

void OnlineJudge::JudgeDrain(const OnlineRequest& request) {
  for (const auto* run : runs_.Of(request.id)) {
    const auto left = operations_.leaving.find(run->instance);
    if (left == operations_.leaving.end()) continue;
    if (!disturbances_.Calm(request.gateway, left->second, run->began_at)) {
      continue;
    }
    findings_.Check("a leaving server gets no new request",
                    run->began_at <= left->second + kDrainBound + slack_,
                    Describe(request) + " at " + run->instance);
  }
}

}  // namespace knapweedstile::soak
