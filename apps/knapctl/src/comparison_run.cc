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

// How often the driver looks at the clock and at the job's counts.
constexpr std::chrono::milliseconds kDrivePeriod{100};

// Only a streamed answer shows when its first token came.
bool ShowsFirstToken(const load::CallOutcome& outcome) {
  return outcome.streamed && outcome.end == load::CallEnd::kWhole;
}

}  // namespace

PolicySide ComparisonPlan::SideAt(Duration since_start) const {
  const auto number = static_cast<uint64_t>(since_start / block);
  const bool second_half = since_start % block >= block / 2;
  return decide::SideOfBlockHalf(second_half, number, mix.seed);
}

ComparisonRun::ComparisonRun(const CommandLine& line,
                             const ComparisonPlan& plan)
    : line_(line), plan_(plan), store_(line.platform), batch_(line) {}

ExitCode ComparisonRun::Run() {
  std::vector<ListedObject> engines;
  if (const ExitCode code = store_.List("engine", &engines);
      code != ExitCode::kOk) {
    Complain("the platform does not answer");
    return code;
  }
  const auto wanted =
      plan_.select.empty()
          ? LabelEdits()
          : ParseLabelEdits({plan_.select}).value_or(LabelEdits());
  for (const ListedObject& engine : engines) {
    if (HasLabels(engine.value, wanted)) engines_.push_back(engine.name);
  }
  if (engines_.empty()) {
    Complain("no engine object is selected");
    return ExitCode::kNotFound;
  }
  if (!Relabel(PolicySide::kFirst)) return ExitCode::kFailed;
  TimePoint baseline_start;
  for (const load::CallOutcome& outcome :
       RunTraffic("without batch", plan_.baseline, &baseline_start)) {
    if (ShowsFirstToken(outcome)) {
      baseline_.push_back(outcome.first_token_after);
    }
  }
  const std::string key = "compare-" + std::to_string(WallClockNanos());
  if (const ExitCode code =
          batch_.Submit(load::PlanBatchBody(plan_.mix, plan_.batch_items,
                                            plan_.batch_tokens, plan_.mix.seed),
                        key, &job_);
      code != ExitCode::kOk) {
    return code;
  }
  start_ = MonotonicNow();
  std::thread driver([this] { Drive(start_); });
  TimePoint started_at;
  const auto outcomes =
      RunTraffic("beside batch", plan_.block * plan_.blocks, &started_at);
  stop_ = true;
  driver.join();
  KeepSamples(outcomes, started_at);
  static_cast<void>(batch_.Cancel(job_.id));
  return failed_ ? ExitCode::kFailed : ExitCode::kOk;
}

std::vector<load::CallOutcome> ComparisonRun::RunTraffic(
    const char* title, Duration length, TimePoint* started_at) {
  load::LoadMix mix = plan_.mix;
  mix.length = length;
  load::LoadTargets targets;
  targets.entries = line_.entries;
  targets.model = mix.model;
  targets.service_path = mix.service_path;
  targets.host = line_.host;
  load::LoadRun run(targets, load::PlanArrivals(mix));
  ProgressBar bar(title);
  auto outcomes = run.Run([&](size_t ended, Duration since_start) {
    bar.Show(ToSeconds(since_start) / ToSeconds(length),
             fmt::format("{} answered", ended));
  });
  *started_at = run.started_at();
  for (const load::CallOutcome& outcome : outcomes) {
    if (outcome.end == load::CallEnd::kWrong) ++wrong_answers_;
  }
  return outcomes;
}

void ComparisonRun::Drive(TimePoint start) {
  std::optional<PolicySide> in_force;
  while (!stop_) {
    const TimePoint now = MonotonicNow();
    if (now - start < plan_.block * plan_.blocks) {
      const PolicySide side = plan_.SideAt(now - start);
      if (side != in_force) {
        if (!Relabel(side)) failed_ = true;
        in_force = side;
      }
      CountBatch(now);
    }
    std::this_thread::sleep_for(kDrivePeriod);
  }
}

bool ComparisonRun::Relabel(PolicySide side) {
  bool all = true;
  for (const std::string& engine : engines_) {
    uint64_t version = 0;
    all &= EditLabels(store_, "engine", engine,
                      {{plan_.label, plan_.NameOfSide(side)}},
                      &version) == ExitCode::kOk;
  }
  ++relabels_;
  return all;
}

void ComparisonRun::CountBatch(TimePoint now) {
  if (batch_.Status(job_.id, &job_) != ExitCode::kOk) return;
  const uint64_t done = job_.completed + job_.failed;
  for (; batch_done_ < done; ++batch_done_) {
    batch_samples_.push_back(
        {plan_.SideAt(now - start_), TrafficClass::kBatch, now, {}});
  }
}

void ComparisonRun::KeepSamples(const std::vector<load::CallOutcome>& outcomes,
                                TimePoint started_at) {
  samples_ = std::move(batch_samples_);
  for (const load::CallOutcome& outcome : outcomes) {
    if (!ShowsFirstToken(outcome)) continue;
    const TimePoint at = started_at + outcome.planned_at;
    samples_.push_back({plan_.SideAt(at - start_), TrafficClass::kOnline, at,
                        outcome.first_token_after});
  }
}

decide::PolicyComparison ComparisonRun::Compare() const {
  decide::ComparisonSettings settings;
  settings.design = decide::ComparisonDesign::kAlternate;
  settings.start = start_;
  settings.end = start_ + plan_.block * plan_.blocks;
  settings.block = plan_.block;
  settings.settle = plan_.settle;
  settings.seed = plan_.mix.seed;
  return decide::ComparePolicies(settings, samples_, baseline_);
}

}  // namespace knapweedstile::ctl
