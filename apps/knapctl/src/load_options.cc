#include "load_options.h"

#include <fmt/core.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>

#include "output.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

constexpr double kMillisPerSecond = 1000;

json::object QuantilesJson(const load::Quantiles& quantiles) {
  return {{"p50", quantiles.p50},
          {"p95", quantiles.p95},
          {"p99", quantiles.p99},
          {"max", quantiles.max}};
}

void AddQuantiles(TextTable& table, const std::string& name,
                  const load::Quantiles& quantiles) {
  table.AddRow({name, fmt::format("{:.1f}", quantiles.p50 * kMillisPerSecond),
                fmt::format("{:.1f}", quantiles.p95 * kMillisPerSecond),
                fmt::format("{:.1f}", quantiles.p99 * kMillisPerSecond),
                fmt::format("{:.1f}", quantiles.max * kMillisPerSecond)});
}

}  // namespace

void AddMixOptions(cxxopts::Options& options) {
  using cxxopts::value;
  options.add_options()("seed", "seed of the arrivals",
                        value<uint64_t>()->default_value("1"))(
      "rate", "online arrivals per second",
      value<double>()->default_value("20"))(
      "model", "requested model", value<std::string>()->default_value(""))(
      "chat-share", "share of chat completions among completions",
      value<double>()->default_value("0.5"))(
      "stream-share",
      "streamed share of the completions; the rest needs a route without "
      "streaming",
      value<double>()->default_value("1"))(
      "long-share", "share of completions with a long response",
      value<double>()->default_value("0.1"))(
      "short-tokens", "max_tokens of a short response",
      value<uint32_t>()->default_value("16"))(
      "long-tokens", "max_tokens of a long response",
      value<uint32_t>()->default_value("64"))(
      "keys", "number of shared prompt prefixes",
      value<uint32_t>()->default_value("16"))(
      "key-skew", "Zipf exponent over prompt prefixes",
      value<double>()->default_value("1.0"))(
      "workspaces", "number of workspaces",
      value<uint32_t>()->default_value("4"))(
      "workspace-skew", "Zipf exponent over workspaces",
      value<double>()->default_value("1.0"))(
      "leave-share", "share of callers that disconnect after the first token",
      value<double>()->default_value("0"))(
      "service-share", "share of arrivals that call a plain service",
      value<double>()->default_value("0"))(
      "service-path", "path of the plain service",
      value<std::string>()->default_value(""));
}

load::LoadMix ToLoadMix(const cxxopts::ParseResult& arguments) {
  load::LoadMix mix;
  mix.seed = arguments["seed"].as<uint64_t>();
  mix.requests_per_second = arguments["rate"].as<double>();
  mix.model = arguments["model"].as<std::string>();
  mix.chat_share = arguments["chat-share"].as<double>();
  mix.stream_share = arguments["stream-share"].as<double>();
  mix.long_share = arguments["long-share"].as<double>();
  mix.short_tokens = arguments["short-tokens"].as<uint32_t>();
  mix.long_tokens = arguments["long-tokens"].as<uint32_t>();
  mix.prompt_prefixes = arguments["keys"].as<uint32_t>();
  mix.prefix_skew = arguments["key-skew"].as<double>();
  mix.workspaces = arguments["workspaces"].as<uint32_t>();
  mix.workspace_skew = arguments["workspace-skew"].as<double>();
  mix.disconnect_share = arguments["leave-share"].as<double>();
  mix.service_share = arguments["service-share"].as<double>();
  mix.service_path = arguments["service-path"].as<std::string>();
  return mix;
}

std::string SummaryText(const load::LoadSummary& summary) {
  std::string text =
      fmt::format("calls={} tokens={} seconds={:.2f}", summary.calls,
                  summary.tokens, summary.seconds);
  for (size_t i = 0; i < summary.calls_by_result.size(); ++i) {
    text += fmt::format(" {}={}", NameOf(static_cast<load::CallResult>(i)),
                        summary.calls_by_result[i]);
  }
  TextTable table;
  table.AddRow({"milliseconds", "p50", "p95", "p99", "max"});
  AddQuantiles(table, "first token", summary.time_to_first_token);
  AddQuantiles(table, "whole answer", summary.complete_response);
  AddQuantiles(table, "refused after", summary.time_to_rejection);
  return text + "\n" + table.Render();
}

std::string SummaryJson(const load::LoadSummary& summary) {
  json::object calls_by_result;
  for (size_t i = 0; i < summary.calls_by_result.size(); ++i) {
    calls_by_result[NameOf(static_cast<load::CallResult>(i))] =
        summary.calls_by_result[i];
  }
  return json::serialize(json::object{
      {"calls", summary.calls},
      {"tokens", summary.tokens},
      {"seconds", summary.seconds},
      {"ends", std::move(calls_by_result)},
      {"first_token_seconds", QuantilesJson(summary.time_to_first_token)},
      {"whole_answer_seconds", QuantilesJson(summary.complete_response)},
      {"refused_after_seconds", QuantilesJson(summary.time_to_rejection)}});
}

}  // namespace knapweedstile::ctl
