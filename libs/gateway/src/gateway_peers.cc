#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "gateway.h"
#include "operators/object_names.h"
#include "peers/reader_choice.h"
#include "platform/store_request.h"
#include "users_platform/store_names.h"

// What the gateway tells the other entries and learns from them.
namespace knapweedstile::gateway {
namespace {

// A change of usage is told at once, but messages keep this distance for each
// other entry of the cell, so that an entry sends a thousand a second at most.
// Each millisecond of it lets entries take the same slot.
constexpr std::chrono::milliseconds kSharePausePerEntry{1};

// Of reads through another entry.
constexpr std::chrono::milliseconds kConfigurationReadPause{200};
constexpr std::chrono::milliseconds kConfigurationReadTimeout{800};
// Items produce an event every 30 ms; what a lost entry costs is at most this
// and what did not make a step.
constexpr std::chrono::milliseconds kProgressPause{500};
// Of one message, below what the other entries' server takes.
constexpr size_t kMostProgressBytes = 512 << 10;

}  // namespace

void Gateway::OnPeerState(const PeerState& state) {
  const TimePoint now = MonotonicNow();
  rate_.OnReport(Hash64(state.entry), state.start, state.rate, state.partial,
                 now);
  if (state.partial) {
    board_.UpdateEntry(state.entry, state.usage, now);
  } else {
    board_.ReportEntry(state.entry, state.usage, now);
    crashes_.Learn(state.entry, state.crashes);
    LearnFilled(state);
  }
  if (state.store_regained_millis_ago != 0) {
    const auto ago = std::chrono::milliseconds(state.store_regained_millis_ago);
    others_regained_at_ = std::max(others_regained_at_, now - ago);
  }
  sync_.OnCount(state.entry, state.start, state.records, now);
  configuration_lag_.OnTold(state.configuration, routes_.version, now);
  server_lag_.OnTold(state.servers_revision, server_mirror_.newest_change(),
                     now);
}

void Gateway::UpdateCells() {
  std::map<std::string, std::string> zones = peers_.Zones();
  zones[settings_.name] = settings_.availability_zone;
  const serving::CellMap cells(zones);
  cell_ = cells.Of(settings_.name);
  entries_in_cell_ =
      cell_.availability_zone.empty() ? zones.size() : cells.EntriesIn(cell_);
  board_.SetCell(cell_, entries_in_cell_);
  UpdateRateMembers();
  peers_.SetCells(cells);
  UpdateReaders(MonotonicNow());
}

void Gateway::UpdateRateMembers() {
  if (!own_mirror_.listed()) return;
  std::vector<workspaces::EntryHash> others;
  for (const std::string& entry : peers_.KnownEntries()) {
    others.push_back(Hash64(entry));
  }
  rate_.SetMembers(others, MonotonicNow());
}

bool Gateway::IsReader() const {
  return std::find(readers_.begin(), readers_.end(), settings_.name) !=
         readers_.end();
}

// Failure guarded against: a reader that is cut off from the store, stalls or
// stops leaves its cell with what it knew. It is left out as soon as it says
// so or is silent; whoever takes its place reads at once, and whoever has lost
// the store itself looks for it again as if it were alone.
void Gateway::UpdateReaders(TimePoint now) {
  std::vector<std::string> sound = peers_.SoundEntriesIn(cell_, now);
  if (store_.available() && stop_began_at_ == kNever) {
    sound.push_back(settings_.name);
  }
  std::vector<std::string> readers = ChooseReaders(std::move(sound));
  if (readers != readers_) {
    LogInfo("store_readers",
            {{"readers", fmt::format("{}", fmt::join(readers, ","))},
             {"cell_entries", entries_in_cell_}});
    readers_ = std::move(readers);
  }
  const bool fed = !readers_.empty() && !IsReader() && store_.available();
  configuration_mirror_.SetFed(fed);
  server_mirror_.SetFed(fed);
  object_mirror_.SetFed(fed);
}

void Gateway::PassOn(const StoreNews& news) {
  if (IsReader()) news_.Send(peers_.AddressesIn(cell_), news);
}

void Gateway::OnNews(StoreNews&& news) {
  if (news.kind == users_platform::kConfigurationKind) {
    return configuration_mirror_.OnNews(std::move(news));
  }
  if (news.kind == users_platform::kServerKind) {
    return server_mirror_.OnNews(std::move(news));
  }
  if (news.kind == kOperatorObjects) object_mirror_.OnNews(std::move(news));
}

TimePoint Gateway::StoreRegainedAt() const {
  return std::max(store_.available_since(), others_regained_at_);
}

void Gateway::LearnFilled(const PeerState& state) {
  const auto own = state.filled.find(settings_.name);
  if (own == state.filled.end() || own->second.start != start_) return;
  const auto addresses = peers_.LiveAddresses();
  const auto address = addresses.find(state.entry);
  if (address == addresses.end()) return;
  push_.Confirm(address->second, own->second.count);
}

// Failure guarded against: a gateway that the store turns away goes on with the
// keys and routes that it knew for as long as that lasts. Others tell that
// there is a newer version, and one of them reads it for this one.
void Gateway::ReadConfiguration(TimePoint now) {
  if (store_.available()) return configuration_mirror_.Refresh();
  if (!store_.reachable()) return;
  if (now - read_configuration_at_ < kConfigurationReadPause) return;
  read_configuration_at_ = now;
  store_.CallAnyWay(
      platform::ReadRequest{.kind = users_platform::kConfigurationKind,
                            .name = users_platform::kConfigurationName},
      now + kConfigurationReadTimeout, [this](platform::StoreAnswer&& answer) {
        if (answer.outcome != platform::StoreOutcome::kOk) return;
        for (const auto& object : answer.objects) OnConfiguration(object);
      });
}

void Gateway::RefreshLaggingMirrors(TimePoint now) {
  if (configuration_lag_.Lagging(routes_.version, now)) ReadConfiguration(now);
  if (server_lag_.Lagging(server_mirror_.newest_change(), now)) {
    server_mirror_.Refresh();
  }
  if (sync_.MustAskStore(now)) own_mirror_.Poke();
  if (sync_.HasGap(now)) own_mirror_.RenewWatch();
}

void Gateway::Displace(BackendServerId server, const std::string& entry) {
  if (entry.empty()) return runner_.Yield(server);
  const serving::ServerRecord* record = board_.Record(server);
  if (record) peers_.AskToYield(entry, record->instance);
}

void Gateway::OnUsageChanged() {
  if (std::exchange(share_armed_, true)) return;
  const TimePoint now = MonotonicNow();
  const TimePoint due =
      shared_at_ + kSharePausePerEntry * (entries_in_cell_ - 1);
  share_timer_.expires_at(std::max(now, due));
  share_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) ShareChanges(MonotonicNow());
  });
}

PeerState Gateway::OwnState() const {
  const TimePoint regained_at = store_.available_since();
  const Duration since_regained = MonotonicNow() - regained_at;
  const bool was_lost = regained_at != TimePoint{};
  return {
      .draining = stop_began_at_ != kNever,
      .store_available = store_.available(),
      .store_regained_millis_ago =
          was_lost ? static_cast<uint64_t>(ToMillis(since_regained)) + 1 : 0,
      .records = push_.count(),
      .configuration = routes_.version,
      .servers_revision = server_mirror_.newest_change()};
}

serving::UsageByProcess Gateway::TakeUntoldUsage() {
  serving::UsageByProcess changes;
  serving::UsageByProcess usage = board_.OwnUsage();
  for (const auto& [process, counts] : usage) {
    const auto told = told_usage_.find(process);
    if (told == told_usage_.end() || !(told->second == counts)) {
      changes[process] = counts;
    }
  }
  for (const auto& [process, counts] : told_usage_) {
    if (!usage.contains(process)) changes[process] = {};
  }
  told_usage_ = std::move(usage);
  return changes;
}

void Gateway::ShareChanges(TimePoint now) {
  share_armed_ = false;
  shared_at_ = now;
  const serving::UsageByProcess changes = TakeUntoldUsage();
  PeerState state = OwnState();
  state.partial = true;
  state.rate = rate_.TakeChanges(now);
  peers_.BroadcastByCell(std::move(state), [&](const serving::Cell& cell) {
    serving::UsageByProcess usage;
    for (const auto& [process, counts] : changes) {
      const serving::ServerRecord* record = board_.RecordOf(process);
      if (record && cell.Holds(*record)) usage[process] = counts;
    }
    return usage;
  });
}

void Gateway::ShareState(TimePoint now) {
  shared_whole_at_ = now;
  PeerState state = OwnState();
  state.availability_zone = settings_.availability_zone;
  state.usage = board_.OwnUsage();
  state.running_items = runner_.RunningItems();
  state.crashes = crashes_.Own();
  state.filled = sync_.FilledLately(now);
  state.rate = rate_.Report(now);
  told_usage_ = state.usage;
  peers_.Broadcast(std::move(state));
}

void Gateway::ShareProgress(TimePoint now, uint64_t step) {
  if (now - shared_progress_at_ < kProgressPause) return;
  shared_progress_at_ = now;
  const std::map<std::string, std::string> addresses = peers_.LiveAddresses();
  if (addresses.empty()) return;
  std::map<std::string, ProgressLink::Notes> by_address;
  for (auto& note : book_.TakeNotes(step, kMostProgressBytes)) {
    const auto address = addresses.find(ownership_.SuccessorOf(note.job));
    if (address == addresses.end()) continue;
    by_address[address->second].push_back(std::move(note));
  }
  for (const auto& [address, notes] : by_address) {
    progress_.Send(address, notes);
  }
}

}  // namespace knapweedstile::gateway
