#include "serving/crashing_parts.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::serving {
namespace {

// Crashes by different requests, each sent after the crash before: many servers
// that crash only once, at the same moment, have another cause.
constexpr size_t kCrashesToQuarantine = 3;
// Proof as well, if they came at two different moments.
constexpr size_t kManyCrashes = 5;
// Requests sent so long after the first server's end were not sent to servers
// that end with it: a gateway may not have seen it yet.
constexpr std::chrono::milliseconds kLaterMoment{300};
// Servers that end together have a common cause if at least so many of them did
// not run the part, and those that did are less than this share.
constexpr size_t kMinOthers = 2;
constexpr double kMinShareAmongEnds = 0.75;
// Two intervals of the reports between gateways, with some slack: answers that
// other gateways have received clear a part in this time.
constexpr std::chrono::milliseconds kAnswersKnownAfter{700};
constexpr std::chrono::seconds kQuarantine{60};
constexpr std::chrono::seconds kCrashLifetime{60};
// Pause before the first trial; each one that fails makes it longer.
constexpr std::chrono::seconds kTrialPause{20};
constexpr int64_t kTrialPauseFactor = 3;
constexpr uint32_t kMaxLengthenings = 3;
// Times of trials that differ by less are the same, reported by several
// gateways.
constexpr std::chrono::seconds kTrialSlack{1};
// Half of the gateways have at least the longest delay before a trial less this
// time, half of the others as much less, and so on. So few are the first,
// however many there are.
constexpr std::chrono::seconds kDelayHalving{2};
constexpr int kDelayHalvings = 10;
// Crashes are reported to all gateways within this time, and so are the answers
// that clear a part of them.
constexpr std::chrono::seconds kImplicated{10};
// Answers are kept for as long as a crash before them may be reported late.
constexpr std::chrono::seconds kAnswerLifetime{5};
// A part that comes later in prompts is preferred from this share of the most
// crashes on.
constexpr double kNearlyAsMany = 0.6;
constexpr std::chrono::milliseconds kUpdateInterval{100};
constexpr size_t kMaxCrashesPerPart = 32;
constexpr size_t kMaxReportedCrashes = 8;
constexpr size_t kMaxReportedParts = 48;

// Whether the crashes are of enough different requests, one after the other,
// and old enough for answers to have been reported.
bool IsProof(std::vector<ServerCrash> crashes, TimePoint now) {
  std::erase_if(crashes, [now](const ServerCrash& crash) {
    return crash.ended_at + kAnswersKnownAfter > now;
  });
  std::sort(crashes.begin(), crashes.end(), [](const auto& a, const auto& b) {
    return a.ended_at < b.ended_at;
  });
  size_t in_turn = 0;
  TimePoint previous_end{};
  bool later_moment = false;
  std::set<uint64_t> requests;
  for (const ServerCrash& crash : crashes) {
    if (!requests.insert(crash.request).second) continue;
    if (crash.sent_at >= crashes.front().ended_at + kLaterMoment)
      later_moment = true;
    if (crash.sent_at < previous_end) continue;
    previous_end = crash.ended_at;
    ++in_turn;
  }
  return in_turn >= kCrashesToQuarantine ||
         (later_moment && requests.size() >= kManyCrashes);
}

TimePoint TrialAfter(TimePoint at, uint32_t failed_trials) {
  Duration pause = kTrialPause;
  for (uint32_t i = 0; i < std::min(failed_trials, kMaxLengthenings); ++i)
    pause *= kTrialPauseFactor;
  return at + pause;
}

}  // namespace

void CrashingParts::AddCrash(Part& part, const ServerCrash& crash, bool own) {
  part.implicated_until =
      std::max(part.implicated_until, crash.ended_at + Duration(kImplicated));
  part.expires_at = std::max(part.expires_at, part.implicated_until);
  if (crash.ended_at <= part.cleared_at) return;
  for (Evidence& known : part.crashes) {
    if (known.crash.process != crash.process) continue;
    known.own = known.own || own;
    return;
  }
  if (part.crashes.size() >= kMaxCrashesPerPart) {
    part.crashes.erase(part.crashes.begin());
  }
  part.crashes.push_back({crash, own});
  part.expires_at =
      std::max(part.expires_at, crash.ended_at + Duration(kCrashLifetime));
}

void CrashingParts::AddEnd(const ServerEnd& end, bool own) {
  ends_.Add(end, own);
  crashed_.insert(end.process);
}

void CrashingParts::OnServerEnded(ServerProcessId process, TimePoint now) {
  AddEnd({process, now}, /*own=*/true);
}

void CrashingParts::MergeEnds(std::span<const ServerEnd> ends) {
  for (const ServerEnd& end : ends) AddEnd(end, /*own=*/false);
}

void CrashingParts::OnCrash(std::span<const uint64_t> parts,
                            const ServerCrash& crash) {
  AddEnd({crash.process, crash.ended_at}, /*own=*/true);
  uint32_t position = 0;
  for (const uint64_t id : parts) {
    Part& part = parts_[id];
    part.position = std::max(part.position, position++);
    AddCrash(part, crash, /*own=*/true);
    if (crash.sent_at >= part.trial_sent_at)
      part.trial_crashed_at = crash.ended_at;
  }
}

void CrashingParts::OnAnswered(std::span<const uint64_t> parts, TimePoint now) {
  for (const uint64_t id : parts) {
    Part& part = parts_[id];
    part.expires_at =
        std::max(part.expires_at, now + Duration(kAnswerLifetime));
    Clear(part, now);
  }
}

void CrashingParts::Clear(Part& part, TimePoint at) {
  part.cleared_at = std::max(part.cleared_at, at);
  std::erase_if(part.crashes, [&](const Evidence& evidence) {
    return evidence.crash.ended_at <= part.cleared_at;
  });
  if (!part.quarantined() || !IsCleared(part)) return;
  Release(part);
  // Reported for as long as other gateways might quarantine it.
  part.implicated_until =
      std::max(part.implicated_until, at + Duration(kQuarantine));
  part.expires_at = std::max(part.expires_at, part.implicated_until);
}

void CrashingParts::Release(Part& part) {
  part.quarantined_until = TimePoint{};
  part.next_trial_at = TimePoint{};
  part.failed_trials = 0;
  part.trial_sent_at = kNever;
  part.trial_crashed_at = TimePoint{};
}

bool CrashingParts::IsCleared(const Part& part) {
  return part.cleared_at != TimePoint{} &&
         part.crashes.size() < kCrashesToQuarantine;
}

void CrashingParts::OnServerResponded(ServerProcessId process,
                                      TimePoint sent_at) {
  if (!crashed_.contains(process)) return;
  ends_.OnResponded(process, sent_at);
  for (auto& [id, part] : parts_) {
    std::erase_if(part.crashes, [&](const Evidence& evidence) {
      return evidence.crash.process == process &&
             evidence.crash.ended_at < sent_at;
    });
  }
}

void CrashingParts::OnRejected(uint64_t id, TimePoint now) {
  const auto found = parts_.find(id);
  if (found == parts_.end() || !found->second.quarantined()) return;
  found->second.quarantined_until = now + kQuarantine;
  found->second.expires_at = now + kQuarantine;
}

void CrashingParts::OnTrialSent(std::span<const uint64_t> parts,
                                TimePoint now) {
  for (const uint64_t id : parts) {
    const auto found = parts_.find(id);
    if (found == parts_.end() || !found->second.quarantined()) continue;
    Part& part = found->second;
    part.trial_sent_at = now;
    part.next_trial_at = TrialAfter(now, part.failed_trials);
    OnRejected(id, now);
  }
}

bool CrashingParts::MayTry(std::span<const uint64_t> parts,
                           TimePoint now) const {
  return NextTrialAt(parts) <= now;
}

TimePoint CrashingParts::NextTrialAt(std::span<const uint64_t> parts) const {
  TimePoint due{};
  for (const uint64_t id : parts) {
    const auto part = parts_.find(id);
    if (part != parts_.end() && part->second.quarantined())
      due = std::max(due, TrialDueAt(id, part->second));
  }
  return due;
}

TimePoint CrashingParts::TrialDueAt(uint64_t id, const Part& part) const {
  const uint64_t hash = HashCombine(HashCombine(seed_, id), part.failed_trials);
  const double rank = std::ldexp(static_cast<double>(hash) + 1, -64);
  const double halvings = std::max(0.0, kDelayHalvings + std::log2(rank));
  return part.next_trial_at + FromSeconds(halvings * kDelayHalving.count());
}

bool CrashingParts::HasCommonCause(const Part& part, TimePoint at) const {
  const Processes ended = ends_.Around(at);
  const Processes under_part = ProcessesOf(part);
  const auto ran = static_cast<size_t>(std::count_if(
      ended.begin(), ended.end(),
      [&](ServerProcessId process) { return under_part.contains(process); }));
  // A part that has been answered must explain all of them.
  if (part.cleared_at != TimePoint{}) return ran < ended.size();
  return ended.size() >= ran + kMinOthers &&
         static_cast<double>(ran) <
             kMinShareAmongEnds * static_cast<double>(ended.size());
}

void CrashingParts::CountFailedTrial(Part& part, TimePoint now) const {
  const TimePoint at = part.trial_crashed_at;
  if (at == TimePoint{} || at + kAnswersKnownAfter > now) return;
  part.trial_crashed_at = TimePoint{};
  if (HasCommonCause(part, at)) return;
  ++part.failed_trials;
  part.next_trial_at =
      std::max(part.next_trial_at, TrialAfter(at, part.failed_trials));
}

void CrashingParts::MergeTrials(Part& part, const CrashingPartReport& report,
                                TimePoint now) {
  part.failed_trials = std::max(part.failed_trials, report.failed_trials);
  const bool known = part.next_trial_at != TimePoint{};
  if (!report.next_trial_at) {
    if (!known) part.next_trial_at = TrialAfter(now, part.failed_trials);
    return;
  }
  if (!known || *report.next_trial_at > part.next_trial_at + kTrialSlack)
    part.next_trial_at = *report.next_trial_at;
}

void CrashingParts::Merge(const CrashingPartReport& report, TimePoint now) {
  Part& part = parts_[report.part];
  part.position = std::max(part.position, report.position);
  part.expires_at = std::max(part.expires_at, now + Duration(kAnswerLifetime));
  for (const ServerCrash& crash : report.crashes) {
    AddEnd({crash.process, crash.ended_at}, /*own=*/false);
    AddCrash(part, crash, /*own=*/false);
  }
  if (report.cleared_at) Clear(part, *report.cleared_at);
  if (!report.quarantined_until || IsCleared(part)) return;
  part.quarantined_until =
      std::max(part.quarantined_until, *report.quarantined_until);
  part.expires_at = std::max(part.expires_at, part.quarantined_until);
  MergeTrials(part, report, now);
}

std::vector<ServerCrash> CrashingParts::Unexplained(
    const Part& part, const Processes& explained) const {
  std::vector<ServerCrash> crashes;
  for (const Evidence& evidence : part.crashes) {
    const ServerCrash& crash = evidence.crash;
    if (explained.contains(crash.process)) continue;
    if (!HasCommonCause(part, crash.ended_at)) crashes.push_back(crash);
  }
  return crashes;
}

CrashingParts::Processes CrashingParts::ProcessesOf(const Part& part) {
  Processes processes;
  for (const Evidence& e : part.crashes) processes.insert(e.crash.process);
  return processes;
}

CrashingParts::Part* CrashingParts::MostIncriminated(const Processes& explained,
                                                     TimePoint now) {
  std::vector<std::pair<size_t, Part*>> suspects;  // by number of crashes
  size_t most = 0;
  bool proved = false;
  for (auto& [id, part] : parts_) {
    if (part.quarantined() || part.crashes.empty()) continue;
    const auto crashes = Unexplained(part, explained);
    if (crashes.size() < kCrashesToQuarantine) continue;
    suspects.emplace_back(crashes.size(), &part);
    most = std::max(most, crashes.size());
    proved = proved || IsProof(crashes, now);
  }
  if (!proved) return nullptr;
  const auto rank = [](const std::pair<size_t, Part*>& suspect) {
    const auto& [count, part] = suspect;
    const Duration unanswered = -part->cleared_at.time_since_epoch();
    return std::tuple(part->position, count, unanswered);
  };
  std::erase_if(suspects, [most](const auto& suspect) {
    return static_cast<double>(suspect.first) <
           kNearlyAsMany * static_cast<double>(most);
  });
  return std::max_element(
             suspects.begin(), suspects.end(),
             [&](const auto& a, const auto& b) { return rank(a) < rank(b); })
      ->second;
}

void CrashingParts::Quarantine(Part& part, TimePoint now) {
  part.quarantined_until = now + kQuarantine;
  part.expires_at = now + kQuarantine;
  part.next_trial_at = TrialAfter(now, part.failed_trials);
  const Processes explained = ProcessesOf(part);
  for (auto& [id, other] : parts_) {
    if (&other == &part || !other.quarantined()) continue;
    if (!IsProof(Unexplained(other, explained), now)) Clear(other, now);
  }
}

std::vector<uint64_t> CrashingParts::Update(TimePoint now) {
  if (now < next_update_at_) return {};
  next_update_at_ = now + kUpdateInterval;
  Processes explained;
  ends_.RemoveUntil(now - kCrashLifetime);
  const Processes ended = ends_.Processes();
  crashed_ = {ended.begin(), ended.end()};
  std::erase_if(parts_,
                [now](const auto& p) { return p.second.expires_at <= now; });
  for (auto& [id, part] : parts_) {
    if (part.quarantined_until <= now) Release(part);
    CountFailedTrial(part, now);
    if (!part.quarantined()) {
      std::erase_if(part.crashes, [now](const Evidence& e) {
        return e.crash.ended_at + kCrashLifetime <= now;
      });
    }
    for (const Evidence& e : part.crashes) {
      crashed_.insert(e.crash.process);
      if (part.quarantined()) explained.insert(e.crash.process);
    }
  }
  std::vector<uint64_t> quarantined;
  while (Part* part = MostIncriminated(explained, now)) {
    Quarantine(*part, now);
    explained.merge(ProcessesOf(*part));
    for (const auto& [id, candidate] : parts_) {
      if (&candidate == part) quarantined.push_back(id);
    }
  }
  return quarantined;
}

std::optional<uint64_t> CrashingParts::FindQuarantined(
    std::span<const uint64_t> parts) const {
  for (const uint64_t id : parts) {
    const auto part = parts_.find(id);
    if (part != parts_.end() && part->second.quarantined()) return id;
  }
  return std::nullopt;
}

std::vector<CrashingPartReport> CrashingParts::Report(TimePoint now) const {
  std::vector<CrashingPartReport> reports;
  for (const auto& [id, part] : parts_) {
    CrashingPartReport report{.part = id, .position = part.position};
    for (auto e = part.crashes.rbegin(); e != part.crashes.rend(); ++e) {
      if (report.crashes.size() == kMaxReportedCrashes) break;
      if (e->own) report.crashes.push_back(e->crash);
    }
    const bool cleared = part.cleared_at != TimePoint{};
    if (cleared && part.implicated_until > now)
      report.cleared_at = part.cleared_at;
    if (part.quarantined()) {
      report.quarantined_until = part.quarantined_until;
      report.next_trial_at = part.next_trial_at;
      report.failed_trials = part.failed_trials;
    }
    const bool empty = report.crashes.empty() && !report.cleared_at &&
                       !report.quarantined_until;
    if (!empty) reports.push_back(std::move(report));
  }
  const auto weight = [](const CrashingPartReport& report) {
    return std::pair(report.quarantined_until.has_value(),
                     report.crashes.size());
  };
  std::sort(reports.begin(), reports.end(), [&](const auto& a, const auto& b) {
    return weight(a) > weight(b);
  });
  if (reports.size() > kMaxReportedParts) reports.resize(kMaxReportedParts);
  return reports;
}

size_t CrashingParts::quarantined() const {
  return static_cast<size_t>(
      std::count_if(parts_.begin(), parts_.end(),
                    [](const auto& p) { return p.second.quarantined(); }));
}

}  // namespace knapweedstile::serving
