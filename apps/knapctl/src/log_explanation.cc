#include "log_explanation.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iomanip>
#include <set>
#include <sstream>

namespace knapweedstile::ctl {
namespace {

// Events that change a gateway's state or its view of other processes.
constexpr std::array<std::string_view, 19> kStateChangeEvents = {
    "store_lost",
    "store_regained",
    "mirror_lost",
    "mirror_listed",
    "mirror_refreshed",
    "configuration_in_force",
    "configuration_refused",
    "server_changed",
    "server_gone",
    "peer_found",
    "peer_lost",
    "policy_attached",
    "object_in_force",
    "policy_selects_no_server",
    "started",
    "stopping",
    "stopped",
    "push_failed",
    "commit_postponed"};

std::string_view FieldOf(std::string_view line, std::string_view key) {
  const std::string pattern = " " + std::string(key) + "=";
  size_t at = line.starts_with(pattern.substr(1)) ? 0 : line.find(pattern);
  if (at == std::string_view::npos) return {};
  at = line.find('=', at) + 1;
  return line.substr(at, line.find(' ', at) - at);
}

// Seconds since the epoch; zero if the line has no time.
double TimeOf(std::string_view line) {
  std::istringstream text{std::string(FieldOf(line, "time"))};
  std::tm fields{};
  double fraction = 0;
  text >> std::get_time(&fields, "%Y-%m-%dT%H:%M:%S") >> fraction;
  if (fields.tm_year == 0) return 0;
  return static_cast<double>(::timegm(&fields)) + fraction;
}

// A batch job is logged under its stored key, which ends with "-" and the id
// that the caller knows.
bool Mentions(std::string_view line, std::string_view id) {
  if (FieldOf(line, "job").ends_with("-" + std::string(id))) return true;
  constexpr std::array<std::string_view, 3> kIds = {"request", "item", "job"};
  return std::any_of(kIds.begin(), kIds.end(), [&](std::string_view key) {
    return FieldOf(line, key) == id;
  });
}

struct WaitReason {
  std::string_view verdict;  // of the gateway, in the line's `wait` field
  std::string_view text;
};

constexpr std::array<WaitReason, 5> kWaitReasons = {{
    {"too_long", "by the observed rate, no slot would be free in time"},
    {"overload", "over twice as many requests came as slots became free"},
    {"no_rate", "no slots were seen to become free lately, or too few"},
    {"queue_full", "the queue at the gateway was full"},
    {"beyond_share", "its workspace was beyond its share, and others waited"},
}};

// Why a request waited at the gateway or was rejected for want of a slot; empty
// if neither.
std::string ExplainWait(std::string_view line) {
  if (FieldOf(line, "event") != "request_done") return {};
  const std::string waited(FieldOf(line, "wait_ms"));
  const std::string_view verdict = FieldOf(line, "wait");
  const auto* reason = std::find_if(
      kWaitReasons.begin(), kWaitReasons.end(),
      [&](const WaitReason& known) { return known.verdict == verdict; });
  const bool has_waited = !waited.empty() && waited != "0";
  std::string text;
  if (has_waited) text = "waited " + waited + " ms at the gateway for a slot";
  if (reason == kWaitReasons.end()) return text;
  text += has_waited ? "; then rejected: " : "rejected at once: ";
  return text + std::string(reason->text);
}

// Gateways, backend servers and time span of the lines that mention an id.
struct Scope {
  std::set<std::string, std::less<>> nodes;
  std::set<std::string, std::less<>> servers;
  double first = 0;
  double last = 0;
};

Scope ScopeOf(const std::vector<std::string>& lines) {
  Scope scope;
  for (const std::string& line : lines) {
    scope.nodes.emplace(FieldOf(line, "node"));
    const std::string_view server = FieldOf(line, "server");
    if (!server.empty() && server != "-") scope.servers.emplace(server);
    const double at = TimeOf(line);
    scope.first = scope.first == 0 ? at : std::min(scope.first, at);
    scope.last = std::max(scope.last, at);
  }
  return scope;
}

bool IsRelated(std::string_view line, const Scope& scope, double seconds) {
  const double at = TimeOf(line);
  if (at < scope.first - seconds || at > scope.last + seconds) return false;
  const std::string_view event = FieldOf(line, "event");
  const bool state_change =
      std::find(kStateChangeEvents.begin(), kStateChangeEvents.end(), event) !=
      kStateChangeEvents.end();
  if (state_change) return scope.nodes.contains(FieldOf(line, "node"));
  // Other failures of the same backend servers, at any gateway.
  return (event == "attempt_broken" || event == "server_unreachable") &&
         scope.servers.contains(FieldOf(line, "server"));
}

}  // namespace

std::vector<std::string> Explain(const std::vector<std::string>& logs,
                                 std::string_view id, double seconds) {
  std::vector<std::string> mentions;
  for (const std::string& line : logs) {
    if (Mentions(line, id)) mentions.push_back(line);
  }
  if (mentions.empty()) return {};
  const Scope scope = ScopeOf(mentions);
  std::vector<std::string> lines;
  for (const std::string& line : logs) {
    if (Mentions(line, id)) {
      lines.push_back("* " + line);
      const std::string wait = ExplainWait(line);
      if (!wait.empty()) lines.back() += "\n    = " + wait;
    } else if (IsRelated(line, scope, seconds)) {
      lines.push_back("  " + line);
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const std::string& a, const std::string& b) {
                     return TimeOf(a.substr(2)) < TimeOf(b.substr(2));
                   });
  return lines;
}

}  // namespace knapweedstile::ctl
