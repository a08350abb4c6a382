#include "explain_command.h"

#include <fmt/core.h>

#include <cxxopts.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "arguments.h"
#include "command_line.h"
#include "log_explanation.h"
#include "output.h"

namespace knapweedstile::ctl {

ExitCode RunExplain(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl explain",
      "ID LOG...: prints the log lines of a request, item or job (marked *), "
      "with\n"
      "state changes of its gateways and backend servers around that time.",
      line.arguments, [](cxxopts::Options& options) {
        options.add_options()("seconds", "context before and after, in seconds",
                              cxxopts::value<double>()->default_value("3"));
      });
  if (!parsed.result) return parsed.code;
  const std::vector<std::string>& positional = parsed.result->unmatched();
  if (positional.size() < 2) {
    PrintError("an id and at least one log file are required; see --help");
    return ExitCode::kUsage;
  }
  std::vector<std::string> logs;
  for (size_t i = 1; i < positional.size(); ++i) {
    std::ifstream file(positional[i]);
    if (!file) {
      PrintError("cannot read " + positional[i]);
      return ExitCode::kUnavailable;
    }
    for (std::string text; std::getline(file, text);) logs.push_back(text);
  }
  const auto lines =
      Explain(logs, positional[0], (*parsed.result)["seconds"].as<double>());
  if (lines.empty()) {
    PrintError("no log line mentions " + positional[0]);
    return ExitCode::kNotFound;
  }
  for (const std::string& text : lines) fmt::print("{}\n", text);
  return ExitCode::kOk;
}

}  // namespace knapweedstile::ctl
