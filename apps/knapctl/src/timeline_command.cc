#include "timeline_command.h"

#include <fmt/core.h>

#include <fstream>
#include <string>

#include "arguments.h"
#include "command_line.h"
#include "merged_timeline.h"
#include "output.h"

namespace knapweedstile::ctl {

ExitCode RunTimeline(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl timeline",
      "Merges the timelines of all --admin addresses on one clock.",
      line.arguments, [](cxxopts::Options& options) {
        options.add_options()("chrome", "write Chrome trace JSON to this file",
                              cxxopts::value<std::string>())(
            "request", "print one request or item (JOB/INDEX) as text",
            cxxopts::value<std::string>());
      });
  if (!parsed.result) return parsed.code;
  MergedTimeline timeline;
  ExitCode code = line.admins.empty() ? ExitCode::kUsage : ExitCode::kOk;
  for (const std::string& admin : line.admins) {
    if (timeline.AddProcess(admin)) continue;
    PrintError(admin + " does not respond");
    code = ExitCode::kUnavailable;
  }
  timeline.Sort();
  if (parsed.result->count("request") != 0) {
    const std::string text =
        timeline.RequestText((*parsed.result)["request"].as<std::string>());
    if (text.empty()) return ExitCode::kNotFound;
    fmt::print("{}", text);
  }
  if (parsed.result->count("chrome") != 0) {
    const std::string file = (*parsed.result)["chrome"].as<std::string>();
    std::ofstream(file) << timeline.ChromeTrace();
    fmt::print("timeline={} events={}\n", file, timeline.events().size());
  }
  fmt::print("{}", timeline.ClockReport());
  return code;
}

}  // namespace knapweedstile::ctl
