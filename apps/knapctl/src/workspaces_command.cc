#include "workspaces_command.h"

#include <fmt/core.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <string>
#include <vector>

#include "arguments.h"
#include "command_line.h"
#include "node_pages.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

// Usage of a workspace, summed over the gateways that responded.
struct Usage {
  double per_second = 0;
  double burst = 0;
  int64_t keys = 0;
  int64_t admitted = 0;  // in the window, as counted by each gateway
  int64_t rejected = 0;
  // Smallest and largest total that a gateway knows from its own count and the
  // reports of its peers.
  int64_t min_known = 0;
  int64_t max_known = 0;
  bool has_count = false;
};

void Add(const json::object& fields, Usage& usage) {
  const auto number = [&](const char* name) {
    return fields.at(name).to_number<int64_t>();
  };
  usage.per_second = fields.at("requests_per_second").to_number<double>();
  usage.burst = fields.at("burst").to_number<double>();
  usage.keys = number("keys");
  usage.admitted += number("admitted_here");
  usage.rejected += number("refused_here");
  const int64_t known = number("admitted");
  usage.min_known = usage.has_count ? std::min(usage.min_known, known) : known;
  usage.max_known = std::max(usage.max_known, known);
  usage.has_count = true;
}

std::string RateText(const Usage& usage) {
  if (usage.per_second <= 0) return "no limit";
  return fmt::format("{:g}/s + {:g}", usage.per_second, usage.burst);
}

void Print(const std::map<std::string, Usage>& usage_by_workspace) {
  TextTable table;
  table.AddRow({"WORKSPACE", "KEYS", "RATE", "ADMITTED", "KNOWN", "REFUSED"});
  for (const auto& [name, usage] : usage_by_workspace) {
    table.AddRow({name, std::to_string(usage.keys), RateText(usage),
                  std::to_string(usage.admitted),
                  fmt::format("{}..{}", usage.min_known, usage.max_known),
                  std::to_string(usage.rejected)});
  }
  fmt::print("{}", table.Render());
}

}  // namespace

ExitCode RunWorkspaces(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl workspaces",
      "Shows limits and recent usage of workspaces over all --admin addresses.",
      line.arguments, [](cxxopts::Options&) {});
  if (!parsed.result) return parsed.code;
  bool all_responded = !line.admins.empty();
  std::map<std::string, Usage> usage_by_workspace;
  json::array nodes;
  for (const NodePage& page : FetchPages(line.admins, "/workspaces")) {
    all_responded = all_responded && !page.fields.empty();
    nodes.push_back({{"admin", page.address}, {"page", page.fields}});
    const json::value* list = page.fields.if_contains("workspaces");
    if (!list || !list->is_array()) continue;
    for (const json::value& element : list->get_array()) {
      const json::object& workspace = element.get_object();
      Add(workspace,
          usage_by_workspace[std::string(workspace.at("name").as_string())]);
    }
  }
  if (line.json) {
    fmt::print("{}\n", json::serialize(nodes));
  } else {
    Print(usage_by_workspace);
  }
  return all_responded ? ExitCode::kOk : ExitCode::kUnavailable;
}

}  // namespace knapweedstile::ctl
