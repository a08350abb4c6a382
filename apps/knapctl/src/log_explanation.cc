#include "log_explanation.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iomanip>
#include <set>
#include <sstream>

namespace knapweedstile::ctl {
namespace {

// Events that change what a gateway believes or can do.
constexpr std::array<std::string_view, 19> kBeliefs = {
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
  const std::string wanted = " " + std::string(key) + "=";
  size_t at = line.starts_with(wanted.substr(1)) ? 0 : line.find(wanted);
  if (at == std::string_view::npos) return {};
  at = line.find('=', at) + 1;
  return line.substr(at, line.find(' ', at) - at);
}

// Seconds since some day; zero when the line has no time.
double TimeOf(std::string_view line) {
  std::istringstream text{std::string(FieldOf(line, "time"))};
  std::tm parts{};
  double fraction = 0;
  text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> fraction;
  if (parts.tm_year == 0) return 0;
  return static_cast<double>(::timegm(&parts)) + fraction;
}

// A job of a workspace is logged under its key, which ends with the caller's
// id.
bool TellsOf(std::string_view line, std::string_view id) {
  if (FieldOf(line, "job").ends_with("-" + std::string(id))) return true;
  constexpr std::array<std::string_view, 3> kIds = {"request", "item", "job"};
  return std::any_of(kIds.begin(), kIds.end(), [&](std::string_view key) {
    return FieldOf(line, key) == id;
  });
}

struct Story {
  std::set<std::string, std::less<>> nodes;
  std::set<std::string, std::less<>> servers;
  double first = 0;
  double last = 0;
};

Story StoryOf(const std::vector<std::string>& lines) {
  Story story;
  for (const std::string& line : lines) {
    story.nodes.emplace(FieldOf(line, "node"));
    const std::string_view server = FieldOf(line, "server");
    if (!server.empty() && server != "-") story.servers.emplace(server);
    const double at = TimeOf(line);
    story.first = story.first == 0 ? at : std::min(story.first, at);
    story.last = std::max(story.last, at);
  }
  return story;
}

bool Belongs(std::string_view line, const Story& story, double seconds) {
  const double at = TimeOf(line);
  if (at < story.first - seconds || at > story.last + seconds) return false;
  const std::string_view event = FieldOf(line, "event");
  const bool belief =
      std::find(kBeliefs.begin(), kBeliefs.end(), event) != kBeliefs.end();
  if (belief) return story.nodes.contains(FieldOf(line, "node"));
  // What else broke at the same servers, at any gateway.
  return (event == "attempt_broken" || event == "server_unreachable") &&
         story.servers.contains(FieldOf(line, "server"));
}

}  // namespace

std::vector<std::string> Explain(const std::vector<std::string>& logs,
                                 std::string_view id, double seconds) {
  std::vector<std::string> told;
  for (const std::string& line : logs) {
    if (TellsOf(line, id)) told.push_back(line);
  }
  if (told.empty()) return {};
  const Story story = StoryOf(told);
  std::vector<std::string> lines;
  for (const std::string& line : logs) {
    if (TellsOf(line, id)) {
      lines.push_back("* " + line);
    } else if (Belongs(line, story, seconds)) {
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
