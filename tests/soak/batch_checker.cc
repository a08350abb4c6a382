#include "batch_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "batch_limits.h"
#include "soak_versions.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;

// No item of an ended job may start later than this after the end was
// acknowledged. A third of what users allow, so that most jobs still have items
// left to run at that time.
constexpr milliseconds kJobEndBound{1000};
constexpr milliseconds kDrainBound{2000};
constexpr size_t kMaxShownOutput = 2000;

}  // namespace

BatchChecker::BatchChecker(const RunIndex& runs,
                           const FaultWindows& fault_windows,
                           const OperationsLog& operations, int events,
                           milliseconds slack, Findings& findings)
    : runs_(runs),
      fault_windows_(fault_windows),
      operations_(operations),
      events_(events),
      slack_(slack),
      findings_(findings) {}

void BatchChecker::Check(const std::map<std::string, BatchRecord>& jobs) {
  for (const auto& [id, job] : jobs) CheckJob(job);
}

void BatchChecker::CheckJob(const BatchRecord& job) {
  std::map<std::string, const ItemRecord*> items;
  for (const ItemRecord& item : job.items) {
    items[item.id] = &item;
    CheckRuns(job, item);
  }
  std::set<std::string> listed;
  for (const auto& [position, result] : job.results) {
    const auto item = items.find(result.item);
    findings_.Check("a result belongs to its job", item != items.end(),
                    job.id + " lists " + result.item);
    findings_.Check("an item is listed once", listed.insert(result.item).second,
                    job.id + " lists " + result.item + " twice");
    if (item != items.end()) CheckResult(job, *item->second, result);
  }
  if (!job.accepted() || job.end_requested()) return;
  findings_.Check("each accepted item is listed",
                  listed.size() == job.items.size(),
                  fmt::format("{} lists {} of {}", job.id, listed.size(),
                              job.items.size()));
}

void BatchChecker::CheckResult(const BatchRecord& job, const ItemRecord& item,
                               const ReadResult& result) {
  if (result.state != "completed")
    return CheckFailedResult(job, item, result.read_at);
  const std::string padding = EventPaddingFor(BodyOf(item));
  const auto is_whole = [&](const char* version) {
    std::string complete_output;
    for (int event = 1; event <= events_; ++event) {
      if (event > 1) complete_output += '\n';
      complete_output += fmt::format("word {} of {} at {}{}", event, item.id,
                                     version, padding);
    }
    return result.output == complete_output;
  };
  findings_.Check(
      "a completed item's output is whole",
      std::any_of(kSoftwareVersions.begin(), kSoftwareVersions.end(), is_whole),
      fmt::format("{}: {} bytes: {}", item.id, result.output.size(),
                  result.output.substr(0, kMaxShownOutput)));
  findings_.Check("an item that cannot be done is not completed",
                  item.kind == ItemKind::kNormal, item.id);
}

void BatchChecker::CheckFailedResult(const BatchRecord& job,
                                     const ItemRecord& item,
                                     TimePoint read_at) {
  const auto& runs = runs_.Of(item.id);
  const auto failures =
      std::count_if(runs.begin(), runs.end(),
                    [](const auto* run) { return run->status == 500; });
  const bool rejected =
      std::any_of(runs.begin(), runs.end(),
                  [](const auto* run) { return run->status == 422; });
  const bool expired = read_at >= job.first_sent_at + kItemLifetime;
  findings_.Check(
      "an item fails for a reason only",
      rejected || failures >= kMaxFailures || expired || job.end_requested(),
      fmt::format("{} with {} failed runs", item.id, failures));
}

void BatchChecker::CheckRuns(const BatchRecord& job, const ItemRecord& item) {
  const auto& runs = runs_.Of(item.id);
  if (!job.accepted() && !job.maybe_accepted) {
    findings_.Check("a refused job does not run", runs.empty(),
                    fmt::format("{} ran {} times", item.id, runs.size()));
  }
  int failures = 0;
  for (const auto* run : runs) {
    findings_.Check(
        "an item is passed on unchanged",
        run->target == kItemPrefix + item.id && run->body == BodyOf(item),
        item.id + " ran as " + run->target);
    if (run->status != 0) ++failures;
    if (job.ended_at != kNever &&
        fault_windows_.FaultFreeEverywhere(job.ended_at, run->started_at)) {
      findings_.Check("an ended job stops",
                      run->started_at <= job.ended_at + kJobEndBound + slack_,
                      item.id);
    }
    const auto left = operations_.leaving.find(run->instance);
    if (left != operations_.leaving.end() &&
        fault_windows_.FaultFreeEverywhere(left->second, run->started_at)) {
      findings_.Check("a leaving server gets no new item",
                      run->started_at <= left->second + kDrainBound + slack_,
                      item.id + " at " + run->instance);
    }
  }
  findings_.Check("a failing item is given up", failures <= kMaxFailures * 3,
                  fmt::format("{} failed {} times", item.id, failures));
}

}  // namespace knapweedstile::soak
