#include "load_words.h"

#include <fmt/core.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>

#include "output.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

constexpr double kMillis = 1000;

json::object QuantilesJson(const load::Quantiles& quantiles) {
  return {{"p50", quantiles.p50},
          {"p95", quantiles.p95},
          {"p99", quantiles.p99},
          {"max", quantiles.most}};
}

void AddQuantiles(TextTable& table, const std::string& name,
                  const load::Quantiles& quantiles) {
  table.Add({name, fmt::format("{:.1f}", quantiles.p50 * kMillis),
             fmt::format("{:.1f}", quantiles.p95 * kMillis),
             fmt::format("{:.1f}", quantiles.p99 * kMillis),
             fmt::format("{:.1f}", quantiles.most * kMillis)});
}

}  // namespace

void AddMixOptions(cxxopts::Options& options) {
  using cxxopts::value;
  options.add_options()("seed", "of the arrivals",
                        value<uint64_t>()->default_value("1"))(
      "rate", "online arrivals a second", value<double>()->default_value("20"))(
      "model", "model asked for", value<std::string>()->default_value(""))(
      "chat-share", "of the completions",
      value<double>()->default_value("0.5"))(
      "stream-share", "of the completions; others need a route that is none",
      value<double>()->default_value("1"))(
      "long-share", "share of long answers",
      value<double>()->default_value("0.1"))(
      "short-tokens", "of a short answer",
      value<uint32_t>()->default_value("16"))(
      "long-tokens", "of a long answer",
      value<uint32_t>()->default_value("64"))(
      "keys", "prompts' shared beginnings",
      value<uint32_t>()->default_value("16"))(
      "key-skew", "Zipf exponent over keys",
      value<double>()->default_value("1.0"))(
      "workspaces", "workspaces that ask",
      value<uint32_t>()->default_value("4"))(
      "workspace-skew", "Zipf exponent over workspaces",
      value<double>()->default_value("1.0"))(
      "leave-share", "callers that go away after the first token",
      value<double>()->default_value("0"))("service-share",
                                           "arrivals that call a plain service",
                                           value<double>()->default_value("0"))(
      "service-path", "of that plain service",
      value<std::string>()->default_value(""));
}

load::LoadMix MixOf(const cxxopts::ParseResult& words) {
  load::LoadMix mix;
  mix.seed = words["seed"].as<uint64_t>();
  mix.per_second = words["rate"].as<double>();
  mix.model = words["model"].as<std::string>();
  mix.chat_share = words["chat-share"].as<double>();
  mix.stream_share = words["stream-share"].as<double>();
  mix.long_share = words["long-share"].as<double>();
  mix.short_tokens = words["short-tokens"].as<uint32_t>();
  mix.long_tokens = words["long-tokens"].as<uint32_t>();
  mix.keys = words["keys"].as<uint32_t>();
  mix.key_skew = words["key-skew"].as<double>();
  mix.workspaces = words["workspaces"].as<uint32_t>();
  mix.workspace_skew = words["workspace-skew"].as<double>();
  mix.leave_share = words["leave-share"].as<double>();
  mix.service_share = words["service-share"].as<double>();
  mix.service_path = words["service-path"].as<std::string>();
  return mix;
}

std::string ShowSummary(const load::LoadSummary& summary) {
  std::string text =
      fmt::format("calls={} tokens={} seconds={:.2f}", summary.calls,
                  summary.tokens, summary.seconds);
  for (size_t i = 0; i < summary.ends.size(); ++i) {
    text += fmt::format(" {}={}", NameOf(static_cast<load::CallEnd>(i)),
                        summary.ends[i]);
  }
  TextTable table;
  table.Add({"milliseconds", "p50", "p95", "p99", "max"});
  AddQuantiles(table, "first token", summary.first_token);
  AddQuantiles(table, "whole answer", summary.whole_answer);
  AddQuantiles(table, "refused after", summary.refused_after);
  return text + "\n" + table.Render();
}

std::string SummaryJson(const load::LoadSummary& summary) {
  json::object ends;
  for (size_t i = 0; i < summary.ends.size(); ++i) {
    ends[NameOf(static_cast<load::CallEnd>(i))] = summary.ends[i];
  }
  return json::serialize(json::object{
      {"calls", summary.calls},
      {"tokens", summary.tokens},
      {"seconds", summary.seconds},
      {"ends", std::move(ends)},
      {"first_token_seconds", QuantilesJson(summary.first_token)},
      {"whole_answer_seconds", QuantilesJson(summary.whole_answer)},
      {"refused_after_seconds", QuantilesJson(summary.refused_after)}});
}

}  // namespace knapweedstile::ctl
