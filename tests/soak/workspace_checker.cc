#include "workspace_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "soak_workspaces.h"

namespace knapweedstile::soak {
namespace {

constexpr unsigned kUnauthorized = 401;

std::string Describe(const OnlineRequest& request) {
  return fmt::format("{} with {} at {}: {}", request.id, request.key,
                     request.gateway, request.end.status);
}

}  // namespace

void WorkspaceChecker::Check(const std::vector<OnlineRequest>& requests) {
  CheckForwardedHeaders();
  for (const OnlineRequest& request : requests) {
    CheckKey(request);
    for (const auto* run : runs_.Of(request.id)) {
      findings_.Check(
          "a server is told the workspace that holds the key",
          run->headers.Find("Tenant") == operations_.OwnerOf(request.key),
          Describe(request));
    }
  }
  CheckRate(requests);
}

void WorkspaceChecker::CheckForwardedHeaders() {
  for (const auto& [id, runs] : runs_.all()) {
    for (const auto* run : runs) {
      const auto& fields = run->headers.fields();
      const bool leaked =
          std::any_of(fields.begin(), fields.end(), [](const auto& field) {
            return field.second.find(kKeyPrefix) != std::string::npos;
          });
      findings_.Check("no key reaches a server", !leaked, id);
    }
  }
}

void WorkspaceChecker::CheckKey(const OnlineRequest& request) {
  const bool ran = !runs_.Of(request.id).empty();
  if (operations_.OwnerOf(request.key).empty()) {
    findings_.Check("a key of no workspace opens nothing", !ran,
                    Describe(request));
    return;
  }
  if (operations_.KeyInEach(request.key, true, request.sent_at,
                            request.ended_at, slack_)) {
    findings_.Check("a key that holds is not denied",
                    request.end.status != kUnauthorized, Describe(request));
  }
  const bool fault_free = fault_windows_.FaultFree(
      request.gateway, request.sent_at, request.ended_at);
  if (fault_free && operations_.KeyInEach(request.key, false, request.sent_at,
                                          request.ended_at, slack_)) {
    findings_.Check("a key that is taken away opens nothing", !ran,
                    Describe(request));
  }
}

// Counts the requests that were both sent and started within each window.
void WorkspaceChecker::CheckRate(const std::vector<OnlineRequest>& requests) {
  std::vector<std::pair<TimePoint, TimePoint>> runs;  // began, sent
  for (const OnlineRequest& request : requests) {
    if (request.key != kHotKey) continue;
    const auto& of = runs_.Of(request.id);
    if (!of.empty()) runs.emplace_back(of.front()->began_at, request.sent_at);
  }
  std::sort(runs.begin(), runs.end());
  const double limit =
      (kHotRate * kRateWindow.count() + kHotBurst) * (1 + kRateOverage) +
      kRateSlack;
  for (const auto& [end, unused] : runs) {
    const auto count = std::count_if(
        runs.begin(), runs.end(), [&, end = end](const auto& run) {
          return run.first <= end && run.second > end - kRateWindow;
        });
    findings_.Check("a workspace stays within its rate",
                    static_cast<double>(count) <= limit,
                    fmt::format("{} requests in {} s, {} allowed", count,
                                kRateWindow.count(), limit));
  }
}

}  // namespace knapweedstile::soak
