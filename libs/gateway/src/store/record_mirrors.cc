#include "store/record_mirrors.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "batch/job_records.h"

namespace knapweedstile::gateway {
namespace {

// Peers push their records, and a lost push or a silent peer ends the pause;
// this periodic read is only a safeguard.
constexpr std::chrono::milliseconds kSafeguardInterval{60000};
// The only kind of an undivided fleet grows with it. It is read again before
// the store's history is compacted, since a list may occupy the link of a small
// VM for seconds.
constexpr int kReadsPerHistory = 2;

}  // namespace

RecordMirrors::RecordMirrors(boost::asio::io_context& io, StoreCalls& store,
                             std::chrono::milliseconds history,
                             Handlers handlers)
    : io_(io),
      store_(store),
      history_(history),
      handlers_(std::move(handlers)) {}

void RecordMirrors::Follow(const std::vector<std::string>& kinds) {
  following_ = true;
  const bool divided = kinds != std::vector<std::string>{kRecordKind};
  for (auto at = mirrors_.begin(); at != mirrors_.end();) {
    if (std::find(kinds.begin(), kinds.end(), at->first) != kinds.end()) {
      ++at;
      continue;
    }
    at->second.mirror->Stop();
    stopped_mirrors_.push_back(std::move(at->second.mirror));
    at = mirrors_.erase(at);
  }
  for (const std::string& kind : kinds) {
    const auto [followed, is_new] = mirrors_.try_emplace(kind);
    if (!is_new) continue;
    followed->second.mirror = std::make_unique<KindMirror>(
        io_, store_,
        MirrorSettings{
            .kind = kind,
            .pause = divided ? kSafeguardInterval : history_ / kReadsPerHistory,
            .large_kind = true,
            .on_demand = true,
            .history_retention = history_},
        KindMirror::Handlers{
            .listed = handlers_.listed,
            .changed = handlers_.changed,
            .list_completed =
                [this, kind](const std::set<std::string>& names,
                             TimePoint began) {
                  handlers_.list_completed(kind, names, began);
                },
            .read_completed =
                [this, kind](TimePoint began) { OnRead(kind, began); }});
    followed->second.mirror->Start();
  }
  if (mirrors_.empty()) ReportRead();
}

void RecordMirrors::OnRead(const std::string& kind, TimePoint began) {
  const auto followed = mirrors_.find(kind);
  if (followed == mirrors_.end()) return;
  followed->second.read_began = std::max(followed->second.read_began, began);
  ReportRead();
}

// Without any kinds, everything has been read.
void RecordMirrors::ReportRead() {
  TimePoint began = MonotonicNow();
  for (const auto& [kind, followed] : mirrors_) {
    began = std::min(began, followed.read_began);
  }
  if (began != TimePoint{}) handlers_.read_completed(began);
}

void RecordMirrors::SkipPause() {
  if (mirrors_.empty()) return ReportRead();
  // Nothing counts as read until the first list of each kind is complete.
  if (!listed()) return;
  for (auto& [kind, followed] : mirrors_) followed.mirror->SkipPause();
}

void RecordMirrors::RenewWatch() {
  for (auto& [kind, followed] : mirrors_) followed.mirror->RenewWatch();
}

void RecordMirrors::ReadAgain() {
  if (mirrors_.empty()) return ReportRead();
  for (auto& [kind, followed] : mirrors_) followed.mirror->ReadAgain();
}

void RecordMirrors::OnStoreRegained() {
  for (auto& [kind, followed] : mirrors_) followed.mirror->OnStoreRegained();
}

bool RecordMirrors::listed() const {
  return std::all_of(mirrors_.begin(), mirrors_.end(), [](const auto& f) {
    return f.second.read_began != TimePoint{};
  });
}

bool RecordMirrors::caught_up() const {
  return following_ &&
         std::all_of(mirrors_.begin(), mirrors_.end(), [](const auto& f) {
           return f.second.mirror->caught_up();
         });
}

}  // namespace knapweedstile::gateway
