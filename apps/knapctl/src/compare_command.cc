#include "compare_command.h"

#include <fmt/core.h>

#include <string>

#include "command_line.h"
#include "comparison_plan.h"
#include "comparison_run.h"
#include "load_words.h"
#include "output.h"
#include "words.h"

namespace knapweedstile::ctl {
namespace {

using decide::ComparisonVerdict;
using decide::PolicyComparison;
using decide::SideResult;

constexpr double kMillis = 1000;

std::string Verdict(ComparisonVerdict verdict, const ComparisonPlan& plan) {
  switch (verdict) {
    case ComparisonVerdict::kFirstBetter:
      return plan.first + " is better";
    case ComparisonVerdict::kSecondBetter:
      return plan.second + " is better";
    case ComparisonVerdict::kWithinNoise:
      return "within noise: no difference shown";
  }
  return "";
}

void AddSide(TextTable& table, const std::string& name,
             const SideResult& side) {
  table.Add({name, std::to_string(side.online_samples),
             fmt::format("{:.1f}", side.p50_seconds * kMillis),
             fmt::format("{:.1f}", side.p95_seconds * kMillis),
             fmt::format("{:.1f}", side.p99_seconds * kMillis),
             side.harm > 0 ? fmt::format("{:.2f}x", side.harm) : "-",
             fmt::format("{:.1f}", side.batch_items_per_second)});
}

void PrintText(const ComparisonPlan& plan, const PolicyComparison& result) {
  TextTable table;
  table.Add({"policy", "online", "TTFT p50 ms", "p95 ms", "p99 ms",
             "p99 vs no batch", "batch items/s"});
  AddSide(table, plan.first, result.first);
  AddSide(table, plan.second, result.second);
  fmt::print("{}", table.Render());
  fmt::print("blocks={}\n", result.blocks);
  fmt::print(
      "online tail: {} (p99 of {} over {}: {:.2f}, 95 in 100: {:.2f} to "
      "{:.2f})\n",
      Verdict(result.online_tail, plan), plan.second, plan.first,
      result.online_p99.ratio, result.online_p99.low, result.online_p99.high);
  fmt::print(
      "batch throughput: {} (rate of {} over {}: {:.2f}, 95 in 100: "
      "{:.2f} to {:.2f})\n",
      Verdict(result.batch_throughput, plan), plan.second, plan.first,
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
      "label", "the engines' label that the policies select by",
      value<std::string>()->default_value("serving"))(
      "select", "relabel only engines with K=V",
      value<std::string>()->default_value(""))(
      "blocks", "time blocks; each serves under both policies",
      value<uint32_t>()->default_value("6"))(
      "block-seconds", "length of a block",
      value<double>()->default_value("6"))(
      "settle-ms", "left out after each change",
      value<uint32_t>()->default_value("500"))(
      "baseline-seconds", "the same traffic without batch, before",
      value<double>()->default_value("6"))(
      "batch-items", "items of the job beside it",
      value<uint32_t>()->default_value("20000"))(
      "batch-tokens", "max_tokens of an item",
      value<uint32_t>()->default_value("32"));
}

ComparisonPlan PlanOf(const cxxopts::ParseResult& words) {
  ComparisonPlan plan;
  plan.first = words["first"].as<std::string>();
  plan.second = words["second"].as<std::string>();
  plan.label = words["label"].as<std::string>();
  plan.select = words["select"].as<std::string>();
  plan.blocks = words["blocks"].as<uint32_t>();
  plan.block = FromSeconds(words["block-seconds"].as<double>());
  plan.settle = std::chrono::milliseconds(words["settle-ms"].as<uint32_t>());
  plan.baseline = FromSeconds(words["baseline-seconds"].as<double>());
  plan.batch_items = words["batch-items"].as<uint32_t>();
  plan.batch_tokens = words["batch-tokens"].as<uint32_t>();
  plan.mix = MixOf(words);
  return plan;
}

}  // namespace

ExitCode RunCompare(const CommandLine& line) {
  const ParsedWords parsed = ParseWords(
      "knapctl compare",
      "Compares two serving policies on one fleet: the same online traffic "
      "beside batch,\nthe engines relabelled between the two in blocks of "
      "time.",
      line.words, AddOptions);
  if (!parsed.result) return parsed.code;
  if (parsed.result->count("first") == 0 ||
      parsed.result->count("second") == 0 || line.entries.empty()) {
    Complain("--first, --second and --entry are needed; see --help");
    return ExitCode::kUsage;
  }
  const ComparisonPlan plan = PlanOf(*parsed.result);
  ComparisonRun run(line, plan);
  const ExitCode code = run.Run();
  if (code != ExitCode::kOk) return code;
  const PolicyComparison result = run.Compare();
  if (line.json) {
    PrintJson(plan, result);
  } else {
    PrintText(plan, result);
  }
  if (run.wrong_answers() > 0) {
    Complain(fmt::format("{} answers were not the caller's own or not whole",
                         run.wrong_answers()));
    return ExitCode::kFailed;
  }
  return ExitCode::kOk;
}

}  // namespace knapweedstile::ctl
