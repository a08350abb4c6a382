#include "serving/server_ends.h"

namespace knapweedstile::serving {
namespace {

constexpr size_t kMaxEnds = 512;
constexpr size_t kMaxReportedEnds = 64;

}  // namespace

void ServerEnds::Add(const ServerEnd& end, bool own) {
  const auto last = entries_.upper_bound(end.ended_at + kMoment);
  for (auto at = entries_.lower_bound(end.ended_at - kMoment); at != last;
       ++at) {
    if (at->second.process != end.process) continue;
    at->second.own = at->second.own || own;
    return;
  }
  entries_.emplace(end.ended_at, Entry{end.process, own});
  if (entries_.size() > kMaxEnds) entries_.erase(entries_.begin());
}

void ServerEnds::OnResponded(ServerProcessId process, TimePoint sent_at) {
  const auto last = entries_.lower_bound(sent_at);
  for (auto at = entries_.begin(); at != last;)
    at = at->second.process == process ? entries_.erase(at) : std::next(at);
}

void ServerEnds::RemoveUntil(TimePoint time) {
  entries_.erase(entries_.begin(), entries_.upper_bound(time));
}

std::set<ServerProcessId> ServerEnds::Around(TimePoint at) const {
  std::set<ServerProcessId> processes;
  const auto last = entries_.upper_bound(at + kMoment);
  for (auto end = entries_.lower_bound(at - kMoment); end != last; ++end)
    processes.insert(end->second.process);
  return processes;
}

std::set<ServerProcessId> ServerEnds::Processes() const {
  std::set<ServerProcessId> processes;
  for (const auto& [at, end] : entries_) processes.insert(end.process);
  return processes;
}

std::vector<ServerEnd> ServerEnds::Report() const {
  std::vector<ServerEnd> report;
  for (auto end = entries_.rbegin(); end != entries_.rend(); ++end) {
    if (report.size() == kMaxReportedEnds) break;
    if (end->second.own) report.push_back({end->second.process, end->first});
  }
  return report;
}

}  // namespace knapweedstile::serving
