#include <fmt/core.h>

#include <array>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "command_line.h"
#include "compare_command.h"
#include "exit_code.h"
#include "explain_command.h"
#include "job_commands.h"
#include "load_command.h"
#include "object_commands.h"
#include "output.h"
#include "status_command.h"
#include "timeline_command.h"
#include "workspaces_command.h"

// Command-line client for operators and callers.
namespace knapweedstile::ctl {
namespace {

struct Command {
  std::string_view name;
  ExitCode (*run)(const CommandLine&);
  std::string_view summary;
};

constexpr std::array<Command, 11> kCommands = {
    {{"apply", RunApply, "create or change objects from a file"},
     {"get", RunGet, "show objects"},
     {"label", RunLabel, "set and remove labels, optionally by selector"},
     {"delete", RunDelete, "delete an object"},
     {"status", RunStatus,
      "show active configurations, gateways and backend servers"},
     {"workspaces", RunWorkspaces, "show limits and usage of workspaces"},
     {"job", RunJob, "submit, poll, read and cancel batch jobs"},
     {"timeline", RunTimeline, "merge the timelines of several processes"},
     {"explain", RunExplain,
      "show log lines and state changes around a request"},
     {"load", RunLoad, "send traffic and measure responses and latencies"},
     {"compare", RunCompare, "compare two serving policies on one fleet"}}};

constexpr std::string_view kFlags =
    "  --platform IP:PORT   admin address of any gateway "
    "(KNAP_PLATFORM)\n"
    "  --entry IP:PORT      callers' address of a gateway, repeatable "
    "(KNAP_ENTRIES)\n"
    "  --admin IP:PORT      admin address of a process, repeatable "
    "(KNAP_ADMINS)\n"
    "  --host NAME          host of the requested routes (KNAP_HOST)\n"
    "  --workspace NAME     the workspace to act for\n"
    "  (KNAP_API_KEY)       its key, sent with each request; not a flag, so "
    "that other users cannot see it\n"
    "  -o json|text         output format\n"
    "  --help               after a command: its arguments and flags\n";

void PrintUsage() {
  fmt::print("usage: knapctl COMMAND [FLAGS] [ARGUMENTS]\n\n");
  for (const Command& command : kCommands) {
    fmt::print("  {:<10} {}\n", command.name, command.summary);
  }
  fmt::print("\n{}", kFlags);
  fmt::print(
      "\nExit codes: 0 success, 1 rejected or failed, 2 usage, 3 conflict with "
      "a concurrent "
      "change,\n4 not found, 5 unavailable, 6 invalid.\n");
}

std::vector<std::string> SplitByComma(const char* text) {
  std::vector<std::string> parts;
  if (text == nullptr) return parts;
  std::string_view rest(text);
  while (!rest.empty()) {
    const size_t comma = rest.find(',');
    parts.emplace_back(rest.substr(0, comma));
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
  }
  return parts;
}

// Returns the value of the flag `name` at argv[*at], given as `--name VALUE` or
// `--name=VALUE`, and advances `at` to the flag's last argument. Returns null
// if argv[*at] is anything else.
const char* MatchFlag(std::string_view name, char** argv, int argc, int* at) {
  const std::string_view argument(argv[*at]);
  if (argument == name && *at + 1 < argc) return argv[++*at];
  if (argument.size() > name.size() && argument.starts_with(name) &&
      argument[name.size()] == '=') {
    return argv[*at] + name.size() + 1;
  }
  return nullptr;
}

CommandLine ParseCommandLine(int argc, char** argv) {
  CommandLine line;
  if (const char* platform = std::getenv("KNAP_PLATFORM")) {
    line.platform = platform;
  }
  if (const char* host = std::getenv("KNAP_HOST")) line.host = host;
  if (const char* key = std::getenv("KNAP_API_KEY")) line.api_key = key;
  for (int i = 1; i < argc; ++i) {
    if (const char* platform = MatchFlag("--platform", argv, argc, &i)) {
      line.platform = platform;
    } else if (const char* gateway = MatchFlag("--entry", argv, argc, &i)) {
      line.gateways.emplace_back(gateway);
    } else if (const char* admin = MatchFlag("--admin", argv, argc, &i)) {
      line.admins.emplace_back(admin);
    } else if (const char* name = MatchFlag("--workspace", argv, argc, &i)) {
      line.workspace = name;
    } else if (const char* host = MatchFlag("--host", argv, argc, &i)) {
      line.host = host;
    } else if (const char* format = MatchFlag("-o", argv, argc, &i)) {
      line.json = std::string_view(format) == "json";
    } else {
      line.arguments.emplace_back(argv[i]);
    }
  }
  if (line.gateways.empty()) {
    line.gateways = SplitByComma(std::getenv("KNAP_ENTRIES"));
  }
  if (line.admins.empty()) {
    line.admins = SplitByComma(std::getenv("KNAP_ADMINS"));
  }
  return line;
}

int Main(int argc, char** argv) {
  CommandLine line = ParseCommandLine(argc, argv);
  const std::string name =
      line.arguments.empty() ? "--help" : line.arguments.front();
  if (name == "--help" || name == "help") {
    PrintUsage();
    return static_cast<int>(ExitCode::kOk);
  }
  line.arguments.erase(line.arguments.begin());
  for (const Command& command : kCommands) {
    if (command.name == name) return static_cast<int>(command.run(line));
  }
  PrintError(fmt::format("unknown command '{}'; see knapctl --help", name));
  return static_cast<int>(ExitCode::kUsage);
}

}  // namespace
}  // namespace knapweedstile::ctl

int main(int argc, char** argv) { return knapweedstile::ctl::Main(argc, argv); }
