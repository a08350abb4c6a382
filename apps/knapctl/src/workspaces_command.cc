#include "workspaces_command.h"

#include <fmt/core.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <string>
#include <vector>

#include "command_line.h"
#include "node_pages.h"
#include "output.h"
#include "words.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

// A workspace as the gateways that answered see it together.
struct Use {
  double per_second = 0;
  double burst = 0;
  int64_t keys = 0;
  int64_t admitted = 0;  // in the window, by the gateways' own counts
  int64_t refused = 0;
  // Least and most that a gateway knows of all others' counts.
  int64_t least_known = 0;
  int64_t most_known = 0;
  bool seen = false;
};

void Add(const json::object& entry, Use& use) {
  const auto number = [&](const char* name) {
    return entry.at(name).to_number<int64_t>();
  };
  use.per_second = entry.at("requests_per_second").to_number<double>();
  use.burst = entry.at("burst").to_number<double>();
  use.keys = number("keys");
  use.admitted += number("admitted_here");
  use.refused += number("refused_here");
  const int64_t known = number("admitted");
  use.least_known = use.seen ? std::min(use.least_known, known) : known;
  use.most_known = std::max(use.most_known, known);
  use.seen = true;
}

std::string Rate(const Use& use) {
  if (use.per_second <= 0) return "no limit";
  return fmt::format("{:g}/s + {:g}", use.per_second, use.burst);
}

void Print(const std::map<std::string, Use>& uses) {
  TextTable table;
  table.Add({"WORKSPACE", "KEYS", "RATE", "ADMITTED", "KNOWN", "REFUSED"});
  for (const auto& [name, use] : uses) {
    table.Add({name, std::to_string(use.keys), Rate(use),
               std::to_string(use.admitted),
               fmt::format("{}..{}", use.least_known, use.most_known),
               std::to_string(use.refused)});
  }
  fmt::print("{}", table.Render());
}

}  // namespace

ExitCode RunWorkspaces(const CommandLine& line) {
  const ParsedWords parsed = ParseWords(
      "knapctl workspaces",
      "Limits and use of workspaces in the last seconds, over every --admin "
      "address.",
      line.words, [](cxxopts::Options&) {});
  if (!parsed.result) return parsed.code;
  bool all = !line.admins.empty();
  std::map<std::string, Use> uses;
  json::array nodes;
  for (const NodePage& page : FetchPages(line.admins, "/workspaces")) {
    all = all && !page.page.empty();
    nodes.push_back({{"admin", page.address}, {"page", page.page}});
    const json::value* list = page.page.if_contains("workspaces");
    if (!list || !list->is_array()) continue;
    for (const json::value& entry : list->get_array()) {
      const json::object& workspace = entry.get_object();
      Add(workspace, uses[std::string(workspace.at("name").as_string())]);
    }
  }
  if (line.json) {
    fmt::print("{}\n", json::serialize(nodes));
  } else {
    Print(uses);
  }
  return all ? ExitCode::kOk : ExitCode::kUnavailable;
}

}  // namespace knapweedstile::ctl
