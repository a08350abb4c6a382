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

// The operators' and callers' command line.
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
     {"label", RunLabel, "set and take off labels, also by selector"},
     {"delete", RunDelete, "delete an object"},
     {"status", RunStatus, "what is in force where, and who is in"},
     {"workspaces", RunWorkspaces, "limits and use of workspaces"},
     {"job", RunJob, "submit, follow, read and cancel batch jobs"},
     {"timeline", RunTimeline, "merge the processes' time lines"},
     {"explain", RunExplain, "from a request's id to its cause, by logs"},
     {"load", RunLoad, "send traffic and measure what callers receive"},
     {"compare", RunCompare, "compare two serving policies on one fleet"}}};

constexpr std::string_view kFlags =
    "  --platform IP:PORT   any gateway's operators' address "
    "(KNAP_PLATFORM)\n"
    "  --entry IP:PORT      an entry's callers' address, repeatable "
    "(KNAP_ENTRIES)\n"
    "  --admin IP:PORT      a process's operators' address, repeatable "
    "(KNAP_ADMINS)\n"
    "  --host NAME          host of the routes asked for (KNAP_HOST)\n"
    "  --workspace NAME     the workspace to act for\n"
    "  (KNAP_API_KEY)       its key, sent with each call; never a flag, which "
    "other users would see\n"
    "  -o json|text         the form of the output\n"
    "  --help               after a command: its own words\n";

void PrintUsage() {
  fmt::print("usage: knapctl COMMAND [FLAGS] [WORDS]\n\n");
  for (const Command& command : kCommands) {
    fmt::print("  {:<10} {}\n", command.name, command.summary);
  }
  fmt::print("\n{}", kFlags);
  fmt::print(
      "\nExit codes: 0 done, 1 refused or failed, 2 usage, 3 conflict with "
      "somebody else's change,\n4 not found, 5 unavailable, 6 not valid.\n");
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

// The value of a flag in the form `--name VALUE` or `--name=VALUE`; moves `at`
// past it. Null when the word at `at` is another.
const char* TakeFlag(std::string_view name, char** argv, int argc, int* at) {
  const std::string_view word(argv[*at]);
  if (word == name && *at + 1 < argc) return argv[++*at];
  if (word.size() > name.size() && word.starts_with(name) &&
      word[name.size()] == '=') {
    return argv[*at] + name.size() + 1;
  }
  return nullptr;
}

CommandLine ParseLine(int argc, char** argv) {
  CommandLine line;
  if (const char* platform = std::getenv("KNAP_PLATFORM")) {
    line.platform = platform;
  }
  if (const char* host = std::getenv("KNAP_HOST")) line.host = host;
  if (const char* key = std::getenv("KNAP_API_KEY")) line.api_key = key;
  for (int i = 1; i < argc; ++i) {
    if (const char* platform = TakeFlag("--platform", argv, argc, &i)) {
      line.platform = platform;
    } else if (const char* entry = TakeFlag("--entry", argv, argc, &i)) {
      line.entries.emplace_back(entry);
    } else if (const char* admin = TakeFlag("--admin", argv, argc, &i)) {
      line.admins.emplace_back(admin);
    } else if (const char* name = TakeFlag("--workspace", argv, argc, &i)) {
      line.workspace = name;
    } else if (const char* host = TakeFlag("--host", argv, argc, &i)) {
      line.host = host;
    } else if (const char* form = TakeFlag("-o", argv, argc, &i)) {
      line.json = std::string_view(form) == "json";
    } else {
      line.words.emplace_back(argv[i]);
    }
  }
  if (line.entries.empty()) {
    line.entries = SplitByComma(std::getenv("KNAP_ENTRIES"));
  }
  if (line.admins.empty()) {
    line.admins = SplitByComma(std::getenv("KNAP_ADMINS"));
  }
  return line;
}

int Main(int argc, char** argv) {
  CommandLine line = ParseLine(argc, argv);
  const std::string name = line.words.empty() ? "--help" : line.words.front();
  if (name == "--help" || name == "help") {
    PrintUsage();
    return static_cast<int>(ExitCode::kOk);
  }
  line.words.erase(line.words.begin());
  for (const Command& command : kCommands) {
    if (command.name == name) return static_cast<int>(command.run(line));
  }
  Complain(fmt::format("no such command: {}; see knapctl --help", name));
  return static_cast<int>(ExitCode::kUsage);
}

}  // namespace
}  // namespace knapweedstile::ctl

int main(int argc, char** argv) { return knapweedstile::ctl::Main(argc, argv); }
