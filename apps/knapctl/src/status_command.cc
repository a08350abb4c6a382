#include "status_command.h"

#include <fmt/core.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "arguments.h"
#include "command_line.h"
#include "node_pages.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

// Returns a field as text, "-" if it is absent.
std::string FieldText(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return "-";
  if (value->is_string()) return std::string(value->get_string());
  return json::serialize(*value);
}

const json::array& ArrayField(const json::object& object,
                              std::string_view name) {
  static const json::array kEmpty;
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_array() ? value->get_array() : kEmpty;
}

std::string LoadText(const json::object& server) {
  const json::value* load = server.if_contains("load");
  if (load == nullptr || !load->is_object()) return "-";
  const json::object& fields = load->get_object();
  return fmt::format("online {} batch {} of {}", FieldText(fields, "online"),
                     FieldText(fields, "batch"), FieldText(fields, "slots"));
}

// The pace and standing of a server that differs from its service's median.
std::string PaceText(const json::object& server) {
  const json::value* pace = server.if_contains("pace");
  if (pace == nullptr || !pace->is_object()) return "-";
  const json::object& fields = pace->get_object();
  const json::value* slowness = fields.if_contains("slowness");
  const json::value* failures = fields.if_contains("failure_share");
  const bool has_numbers = slowness != nullptr && slowness->is_number() &&
                           failures != nullptr && failures->is_number();
  if (!has_numbers) return "-";
  std::string text;
  if (slowness->to_number<double>() != 1)
    text += fmt::format("{:.2f}x time ", slowness->to_number<double>());
  constexpr int kPercent = 100;
  if (failures->to_number<double>() > 0) {
    text +=
        fmt::format("{:.0f}% fail ", failures->to_number<double>() * kPercent);
  }
  const std::string standing = FieldText(fields, "standing");
  if (standing != "trusted") text += standing;
  return text.empty() ? "-" : text;
}

void PrintNodes(const std::vector<NodePage>& pages) {
  TextTable table;
  table.AddRow(
      {"NODE", "ROLE", "ZONE", "ROUTES", "REVISION", "DIGEST", "DRAINING"});
  for (const NodePage& page : pages) {
    if (page.fields.empty()) {
      table.AddRow({page.address, "no response"});
      continue;
    }
    table.AddRow({FieldText(page.fields, "node"),
                  FieldText(page.fields, "role"),
                  FieldText(page.fields, "availability_zone"),
                  FieldText(page.fields, "configuration"),
                  FieldText(page.fields, "config_revision"),
                  FieldText(page.fields, "config_digest"),
                  FieldText(page.fields, "draining")});
  }
  fmt::print("{}\n", table.Render());
}

void PrintServers(const std::vector<NodePage>& pages) {
  TextTable table;
  table.AddRow({"SEEN BY", "BACKEND SERVER", "TARGET", "ZONE", "STATE",
                "POLICY", "LOAD", "PACE"});
  for (const NodePage& page : pages) {
    for (const json::value& element :
         ArrayField(page.fields, "backend_servers")) {
      const json::object& server = element.get_object();
      table.AddRow({FieldText(page.fields, "node"), FieldText(server, "name"),
                    FieldText(server, "target"),
                    FieldText(server, "availability_zone"),
                    FieldText(server, "state"), FieldText(server, "policy"),
                    LoadText(server), PaceText(server)});
    }
  }
  fmt::print("{}\n", table.Render());
}

void PrintList(const std::vector<NodePage>& pages, const char* list,
               const char* title) {
  bool title_printed = false;
  for (const NodePage& page : pages) {
    for (const json::value& element : ArrayField(page.fields, list)) {
      if (!title_printed) fmt::print("{}\n", title);
      title_printed = true;
      fmt::print("  {}: {}\n", FieldText(page.fields, "node"),
                 json::serialize(element));
    }
  }
}

}  // namespace

ExitCode RunStatus(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl status", "Shows the state of every --admin address.",
      line.arguments, [](cxxopts::Options&) {});
  if (!parsed.result) return parsed.code;
  const std::vector<NodePage> pages = FetchPages(line.admins, "/status");
  bool all_responded = !pages.empty();
  for (const NodePage& page : pages) all_responded &= !page.fields.empty();
  if (line.json) {
    json::array nodes;
    for (const NodePage& page : pages) {
      nodes.push_back({{"admin", page.address}, {"status", page.fields}});
    }
    fmt::print("{}\n", json::serialize(nodes));
  } else {
    PrintNodes(pages);
    PrintServers(pages);
    PrintList(pages, "policies", "POLICIES");
    PrintList(pages, "placements", "PLACEMENTS");
    PrintList(pages, "refused_objects", "REFUSED OBJECTS");
  }
  return all_responded ? ExitCode::kOk : ExitCode::kUnavailable;
}

}  // namespace knapweedstile::ctl
