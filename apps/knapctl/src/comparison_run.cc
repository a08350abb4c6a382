#include "comparison_run.h"

#include <fmt/core.h>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "base/clock.h"
#include "command_line.h"
#include "label_edit.h"
#include "load/arrival_plan.h"
#include "load/load_run.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

using decide::PolicySide;

// How often the active policy is checked and the job's progress is sampled.
constexpr std::chrono::milliseconds kSamplePeriod{100};

// The time of the first token is known only for streamed responses.
bool HasFirstTokenTime(const load::CallOutcome& outcome) {
  return outcome.streamed && outcome.result == load::CallResult::kComplete;
}

}  // namespace

PolicySide ComparisonPlan::SideAt(Duration since_start) const {
  const auto number = static_cast<uint64_t>(since_start / block_length);
  const bool second_half = since_start % block_length >= block_length / 2;
  return decide::SideOfBlockHalf(second_half, number, mix.seed);
}

ComparisonRun::ComparisonRun(const CommandLine& line,
                             const ComparisonPlan& plan)
    : line_(line), plan_(plan), store_(line.platform), batch_api_(line) {}

ExitCode ComparisonRun::Run() {
  std::vector<ListedObject> engines;
  if (const ExitCode code = store_.List("engine", &engines);
      code != ExitCode::kOk) {
    PrintError("the objects API at --platform does not respond");
    return code;
  }
  const auto selected_labels =
      plan_.engine_selector.empty()
          ? LabelEdits()
          : ParseLabelEdits({plan_.engine_selector}).value_or(LabelEdits());
  for (const ListedObject& engine : engines) {
    if (HasLabels(engine.value, selected_labels))
      engines_.push_back(engine.name);
  }
  if (engines_.empty()) {
    PrintError("no engine object matches --select");
    return ExitCode::kNotFound;
  }
  if (!RelabelEngines(PolicySide::kFirst)) return ExitCode::kFailed;
  TimePoint baseline_start;
  for (const load::CallOutcome& outcome :
       RunTraffic("without batch", plan_.baseline_length, &baseline_start)) {
    if (HasFirstTokenTime(outcome)) {
      baseline_ttft_.push_back(outcome.first_token_after);
    }
  }
  const std::string key = "compare-" + std::to_string(WallClockNanos());
  if (const ExitCode code = batch_api_.Submit(
          load::PlanBatchBody(plan_.mix, plan_.batch_items, plan_.batch_tokens,
                              plan_.mix.seed),
          key, &job_);
      code != ExitCode::kOk) {
    return code;
  }
  start_ = MonotonicNow();
  std::thread switcher([this] { SwitchPolicies(start_); });
  TimePoint started_at;
  const auto outcomes = RunTraffic(
      "beside batch", plan_.block_length * plan_.blocks, &started_at);
  stop_ = true;
  switcher.join();
  RecordOnlineSamples(outcomes, started_at);
  static_cast<void>(batch_api_.Cancel(job_.id));
  return relabel_failed_ ? ExitCode::kFailed : ExitCode::kOk;
}

std::vector<load::CallOutcome> ComparisonRun::RunTraffic(
    const char* title, Duration length, TimePoint* started_at) {
  load::LoadMix mix = plan_.mix;
  mix.length = length;
  load::LoadTargets targets;
  targets.gateways = line_.gateways;
  targets.model = mix.model;
  targets.service_path = mix.service_path;
  targets.host = line_.host;
  load::LoadRun run(targets, load::PlanArrivals(mix));
  ProgressBar bar(title);
  auto outcomes = run.Run([&](size_t finished, Duration since_start) {
    bar.Update(ToSeconds(since_start) / ToSeconds(length),
               fmt::format("{} finished", finished));
  });
  *started_at = run.started_at();
  for (const load::CallOutcome& outcome : outcomes) {
    if (outcome.result == load::CallResult::kInvalid) ++invalid_responses_;
  }
  return outcomes;
}

void ComparisonRun::SwitchPolicies(TimePoint start) {
  std::optional<PolicySide> active;
  while (!stop_) {
    const TimePoint now = MonotonicNow();
    if (now - start < plan_.block_length * plan_.blocks) {
      const PolicySide side = plan_.SideAt(now - start);
      if (side != active) {
        if (!RelabelEngines(side)) relabel_failed_ = true;
        active = side;
      }
      SampleBatchProgress(now);
    }
    std::this_thread::sleep_for(kSamplePeriod);
  }
}

bool ComparisonRun::RelabelEngines(PolicySide side) {
  bool all_labelled = true;
  for (const std::string& engine : engines_) {
    uint64_t version = 0;
    all_labelled &= EditLabels(store_, "engine", engine,
                               {{plan_.label, plan_.PolicyName(side)}},
                               &version) == ExitCode::kOk;
  }
  ++relabels_;
  return all_labelled;
}

void ComparisonRun::SampleBatchProgress(TimePoint now) {
  if (batch_api_.Status(job_.id, &job_) != ExitCode::kOk) return;
  const uint64_t done = job_.completed + job_.failed;
  for (; batch_items_done_ < done; ++batch_items_done_) {
    batch_samples_.push_back(
        {plan_.SideAt(now - start_), TrafficClass::kBatch, now, {}});
  }
}

void ComparisonRun::RecordOnlineSamples(
    const std::vector<load::CallOutcome>& outcomes, TimePoint started_at) {
  samples_ = std::move(batch_samples_);
  for (const load::CallOutcome& outcome : outcomes) {
    if (!HasFirstTokenTime(outcome)) continue;
    const TimePoint at = started_at + outcome.planned_at;
    samples_.push_back({plan_.SideAt(at - start_), TrafficClass::kOnline, at,
                        outcome.first_token_after});
  }
}

decide::PolicyComparison ComparisonRun::Compare() const {
  decide::ComparisonSettings settings;
  settings.design = decide::ComparisonDesign::kAlternate;
  settings.start = start_;
  settings.end = start_ + plan_.block_length * plan_.blocks;
  settings.block = plan_.block_length;
  settings.settle = plan_.settle_time;
  settings.seed = plan_.mix.seed;
  return decide::ComparePolicies(settings, samples_, baseline_ttft_);
}

}  // namespace knapweedstile::ctl
