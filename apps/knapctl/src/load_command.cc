#include "load_command.h"

#include <fmt/core.h>

#include <fstream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "batch_api.h"
#include "command_line.h"
#include "load/arrival_plan.h"
#include "load/load_run.h"
#include "load/load_summary.h"
#include "load_options.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

// Reads lines of `WORKSPACE KEY`. Keys come from a file because all users of
// the machine can see the arguments of a command.
std::map<std::string, std::string> ReadKeys(const std::string& path) {
  std::map<std::string, std::string> keys;
  std::ifstream file(path);
  std::string workspace;
  std::string key;
  while (file >> workspace >> key) keys[workspace] = key;
  return keys;
}

std::vector<load::CallOutcome> RunOnline(
    const CommandLine& line, const load::LoadMix& mix,
    std::map<std::string, std::string> workspace_keys) {
  load::LoadTargets targets;
  targets.gateways = line.gateways;
  targets.model = mix.model;
  targets.service_path = mix.service_path;
  targets.host = line.host;
  targets.workspace_keys = std::move(workspace_keys);
  std::vector<load::Arrival> plan = load::PlanArrivals(mix);
  const size_t calls = plan.size();
  load::LoadRun run(targets, std::move(plan));
  ProgressBar bar("load");
  return run.Run([&](size_t finished, Duration since_start) {
    bar.Update(ToSeconds(since_start) / ToSeconds(mix.length),
               fmt::format("{}/{} finished", finished, calls));
  });
}

}  // namespace

ExitCode RunLoad(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl load",
      "Sends seeded open-loop online traffic; latency is measured from the "
      "planned arrival.",
      line.arguments, [](cxxopts::Options& options) {
        AddMixOptions(options);
        options.add_options()("seconds", "length of the run in seconds",
                              cxxopts::value<double>()->default_value("10"))(
            "batch-items",
            "items of a batch job submitted at the start; 0: none",
            cxxopts::value<uint32_t>()->default_value("0"))(
            "batch-tokens", "max_tokens of an item",
            cxxopts::value<uint32_t>()->default_value("32"))(
            "key-file",
            "API keys of workspace-0, workspace-1, ...: a name and its key per "
            "line",
            cxxopts::value<std::string>()->default_value(""))(
            "out", "write the summary as JSON to this file",
            cxxopts::value<std::string>());
      });
  if (!parsed.result) return parsed.code;
  const cxxopts::ParseResult& arguments = *parsed.result;
  if (line.gateways.empty()) {
    PrintError("--entry is missing");
    return ExitCode::kUsage;
  }
  load::LoadMix mix = ToLoadMix(arguments);
  mix.length = FromSeconds(arguments["seconds"].as<double>());
  const BatchApi batch(line);
  JobStatus job;
  if (const uint32_t items = arguments["batch-items"].as<uint32_t>();
      items > 0) {
    const std::string key = "load-" + std::to_string(WallClockNanos());
    const ExitCode code = batch.Submit(
        load::PlanBatchBody(mix, items,
                            arguments["batch-tokens"].as<uint32_t>(), mix.seed),
        key, &job);
    if (code != ExitCode::kOk) return code;
  }
  const load::LoadSummary summary = load::Summarize(
      RunOnline(line, mix, ReadKeys(arguments["key-file"].as<std::string>())));
  fmt::print("{}",
             line.json ? SummaryJson(summary) + "\n" : SummaryText(summary));
  if (!job.id.empty() && batch.Status(job.id, &job) == ExitCode::kOk) {
    fmt::print("job={} state={} completed={} failed={} of {}\n", job.id,
               job.state, job.completed, job.failed, job.total);
  }
  if (arguments.count("out") != 0) {
    std::ofstream(arguments["out"].as<std::string>()) << SummaryJson(summary);
  }
  const bool wrong =
      summary.calls_by_result[static_cast<size_t>(load::CallResult::kInvalid)] >
      0;
  return wrong ? ExitCode::kFailed : ExitCode::kOk;
}

}  // namespace knapweedstile::ctl
