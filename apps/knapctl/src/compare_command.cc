#include "compare_command.h"

#include <fmt/core.h>

#include <string>

#include "arguments.h"
#include "command_line.h"
#include "comparison_plan.h"
#include "comparison_run.h"
#include "load_options.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

using decide::ComparisonVerdict;
using decide::PolicyComparison;
using decide::SideResult;

constexpr double kMillisPerSecond = 1000;

std::string VerdictText(ComparisonVerdict verdict, const ComparisonPlan& plan) {
  switch (verdict) {
    case ComparisonVerdict::kFirstBetter:
      return plan.first + " is better";
    case ComparisonVerdict::kSecondBetter:
      return plan.second + " is better";
    case ComparisonVerdict::kWithinNoise:
      return "no significant difference";
  }
  return "";
}

void AddPolicyRow(TextTable& table, const std::string& name,
                  const SideResult& side) {
  table.AddRow({name, std::to_string(side.online_samples),
                fmt::format("{:.1f}", side.p50_seconds * kMillisPerSecond),
                fmt::format("{:.1f}", side.p95_seconds * kMillisPerSecond),
                fmt::format("{:.1f}", side.p99_seconds * kMillisPerSecond),
                side.harm > 0 ? fmt::format("{:.2f}x", side.harm) : "-",
                fmt::format("{:.1f}", side.batch_items_per_second)});
}

void PrintText(const ComparisonPlan& plan, const PolicyComparison& result) {
  TextTable table;
  table.AddRow({"policy", "online", "TTFT p50 ms", "p95 ms", "p99 ms",
                "p99 vs no batch", "batch items/s"});
  AddPolicyRow(table, plan.first, result.first);
  AddPolicyRow(table, plan.second, result.second);
  fmt::print("{}", table.Render());
  fmt::print("blocks={}\n", result.blocks);
  fmt::print(
      "online tail: {} (p99 of {} over {}: {:.2f}, 95 in 100: {:.2f} to "
      "{:.2f})\n",
      VerdictText(result.online_tail, plan), plan.second, plan.first,
      result.online_p99.ratio, result.online_p99.low, result.online_p99.high);
  fmt::print(
      "batch throughput: {} (rate of {} over {}: {:.2f}, 95 in 100: "
      "{:.2f} to {:.2f})\n",
      VerdictText(result.batch_throughput, plan), plan.second, plan.first,
      result.batch_rate.ratio, result.batch_rate.low, result.batch_rate.high);
}

std::string SideJson(const std::string& name, const SideResult& side) {
  return fmt::format(
      "{{\"policy\":\"{}\",\"online\":{},\"ttft_p50\":{},\"ttft_p95\":{},"
      "\"ttft_p99\":{},\"harm\":{},\"batch_items_per_second\":{}}}",
      name, side.online_samples, side.p50_seconds, side.p95_seconds,
      side.p99_seconds, side.harm, side.batch_items_per_second);
}

void PrintJson(const ComparisonPlan& plan, const PolicyComparison& result) {
  fmt::print(
      "{{\"first\":{},\"second\":{},\"blocks\":{},\"online_tail\":\"{}\","
      "\"online_p99_ratio\":[{},{},{}],\"batch_throughput\":\"{}\","
      "\"batch_rate_ratio\":[{},{},{}]}}\n",
      SideJson(plan.first, result.first), SideJson(plan.second, result.second),
      result.blocks, NameOf(result.online_tail), result.online_p99.low,
      result.online_p99.ratio, result.online_p99.high,
      NameOf(result.batch_throughput), result.batch_rate.low,
      result.batch_rate.ratio, result.batch_rate.high);
}

void AddOptions(cxxopts::Options& options) {
  using cxxopts::value;
  AddMixOptions(options);
  options.add_options()("first", "name of the first policy",
                        value<std::string>())(
      "second", "name of the second policy", value<std::string>())(
      "label", "label key of the engines that the policies select on",
      value<std::string>()->default_value("serving"))(
      "select", "relabel only engines that have the label K=V",
      value<std::string>()->default_value(""))(
      "blocks", "number of time blocks; each runs both policies",
      value<uint32_t>()->default_value("6"))(
      "block-seconds", "length of a block in seconds",
      value<double>()->default_value("6"))(
      "settle-ms", "time excluded from samples after each policy change",
      value<uint32_t>()->default_value("500"))(
      "baseline-seconds", "length of the preceding run without batch",
      value<double>()->default_value("6"))(
      "batch-items", "items of the batch job",
      value<uint32_t>()->default_value("20000"))(
      "batch-tokens", "max_tokens of an item",
      value<uint32_t>()->default_value("32"));
}

ComparisonPlan ParsePlan(const cxxopts::ParseResult& arguments) {
  ComparisonPlan plan;
  plan.first = arguments["first"].as<std::string>();
  plan.second = arguments["second"].as<std::string>();
  plan.label = arguments["label"].as<std::string>();
  plan.engine_selector = arguments["select"].as<std::string>();
  plan.blocks = arguments["blocks"].as<uint32_t>();
  plan.block_length = FromSeconds(arguments["block-seconds"].as<double>());
  plan.settle_time =
      std::chrono::milliseconds(arguments["settle-ms"].as<uint32_t>());
  plan.baseline_length =
      FromSeconds(arguments["baseline-seconds"].as<double>());
  plan.batch_items = arguments["batch-items"].as<uint32_t>();
  plan.batch_tokens = arguments["batch-tokens"].as<uint32_t>();
  plan.mix = ToLoadMix(arguments);
  return plan;
}

}  // namespace

ExitCode RunCompare(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl compare",
      "Compares two serving policies on one fleet: the same online traffic "
      "beside batch,\nthe engines relabelled between the two in blocks of "
      "time.",
      line.arguments, AddOptions);
  if (!parsed.result) return parsed.code;
  if (parsed.result->count("first") == 0 ||
      parsed.result->count("second") == 0 || line.gateways.empty()) {
    PrintError("--first, --second and --entry are required; see --help");
    return ExitCode::kUsage;
  }
  const ComparisonPlan plan = ParsePlan(*parsed.result);
  ComparisonRun run(line, plan);
  const ExitCode code = run.Run();
  if (code != ExitCode::kOk) return code;
  const PolicyComparison result = run.Compare();
  if (line.json) {
    PrintJson(plan, result);
  } else {
    PrintText(plan, result);
  }
  if (run.invalid_responses() > 0) {
    PrintError(fmt::format(
        "{} responses were incomplete or did not match their request",
        run.invalid_responses()));
    return ExitCode::kFailed;
  }
  return ExitCode::kOk;
}

}  // namespace knapweedstile::ctl
