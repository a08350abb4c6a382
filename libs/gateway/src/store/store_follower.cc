#include "store/store_follower.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "gateway/gateway_settings.h"
#include "operators/object_names.h"
#include "peers/member_records.h"
#include "peers/peer_link.h"
#include "platform/store_request.h"
#include "store/store_calls.h"
#include "users_platform/store_names.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoredObject;

// Operators' objects change rarely, and a change ends the wait. A silent watch
// is detected when its wait ends, so this bounds how late a change is seen.
constexpr std::chrono::milliseconds kObjectWatchWait{20000};
// The watches of a cell's gateways end one after another in this period, so
// that one of them soon finds out if the store is silent for all.
constexpr std::chrono::milliseconds kConfigurationWatchPeriod{5000};
constexpr std::chrono::milliseconds kMinConfigurationWatchWait{1000};
// Servers change in groups, when they start, leave or are replaced; without the
// pause each change would end a watch on every gateway. A draining server must
// receive no new requests within two seconds.
constexpr std::chrono::milliseconds kServerPause{300};
// A directory that takes longer to read must not delay the other kinds.
constexpr std::chrono::milliseconds kDirectoryTimeout{150};
// When all gateways start, they register at the same time.
constexpr std::chrono::milliseconds kMemberPause{500};
// Minimum interval between reads through a peer; each request with a removed
// key triggers one.
constexpr std::chrono::milliseconds kConfigurationReadInterval{1000};
constexpr std::chrono::milliseconds kConfigurationReadTimeout{800};
// After a suspension, the time for new reports of peers to arrive and for old
// ones, which the socket still held, to be replaced.
constexpr std::chrono::milliseconds kPeerReportDelay{600};
// Much shorter than a silence after which a reader is excluded.
constexpr std::chrono::milliseconds kReaderChoiceInterval{80};

// Guards against a store that goes silent and returns while a watch waits. The
// watch then delivers the removal of live servers whose registrations expired
// during the outage, and nothing else reveals the outage. A registration
// expires after three heartbeats, so the watch must end, and fail, before then.
std::chrono::milliseconds ServerWatchWait(std::chrono::milliseconds heartbeat) {
  constexpr int kHeartbeatsToExpire = 3;
  constexpr std::chrono::milliseconds kTimeoutAndMargin{1000};
  constexpr std::chrono::milliseconds kMinWait{300};
  return std::max(kMinWait,
                  heartbeat * kHeartbeatsToExpire - kTimeoutAndMargin);
}

}  // namespace

StoreFollower::StoreFollower(boost::asio::io_context& io,
                             const GatewaySettings& settings, StoreCalls& store,
                             const PeerLink& peers, Callbacks callbacks)
    : own_name_(settings.name),
      store_(store),
      peers_(peers),
      callbacks_(std::move(callbacks)),
      update_link_(
          io,
          [this](StoreUpdate&& update) { OnStoreUpdate(std::move(update)); }),
      configuration_link_(io, Hash64(own_name_),
                          {.received =
                               [this](const StoredObject& object) {
                                 callbacks_.configuration_read(
                                     object, ConfigurationSource::kPeer);
                               },
                           .address_of =
                               [this](const std::string& gateway) {
                                 return callbacks_.address_of(gateway);
                               }}),
      configuration_(
          io, store,
          {.kind = users_platform::kConfigurationKind,
           .watch_wait = kConfigurationWatchPeriod,
           .probes_lost_store = true},
          {.listed =
               [this](std::vector<StoredObject>&& objects) {
                 for (const auto& object : objects) {
                   callbacks_.configuration_read(object, configuration_source_);
                 }
               },
           .changed =
               [this](StoredObject&& object) {
                 if (object.deleted) return;
                 callbacks_.configuration_read(object, configuration_source_);
               },
           .update_read =
               [this](const StoreUpdate& update) { ForwardToCell(update); },
           .watch_wait = [this] { return ConfigurationWatchWait(); },
           .read_completed =
               [this](TimePoint began) { OnConfigurationRead(began); }}),
      servers_(
          io, store,
          {.kind = users_platform::kServerKind,
           .watch_wait = ServerWatchWait(settings.server_heartbeat),
           .pause = kServerPause,
           .stale_first_list = true},
          {.listed =
               [this](std::vector<StoredObject>&& objects) {
                 callbacks_.servers_listed(std::move(objects));
               },
           .changed =
               [this](StoredObject&& object) {
                 callbacks_.server_changed(std::move(object));
               },
           .update_read =
               [this](const StoreUpdate& update) { ForwardToCell(update); }}),
      objects_(
          io, store,
          {.kind = kOperatorObjectsKind, .watch_wait = kObjectWatchWait},
          {.listed =
               [this](std::vector<StoredObject>&& objects) {
                 callbacks_.objects_listed(std::move(objects));
               },
           .changed =
               [this](StoredObject&& object) {
                 callbacks_.object_changed(std::move(object));
               },
           .update_read =
               [this](const StoreUpdate& update) { ForwardToCell(update); }}),
      members_(
          io, store,
          {.kind = kMemberKind,
           .watch_wait = kObjectWatchWait,
           .pause = kMemberPause,
           .stale_first_list = true,
           .pause_after_stale_list = true,
           .probes_lost_store = true},
          {.listed =
               [this](std::vector<StoredObject>&& objects) {
                 callbacks_.members_listed(std::move(objects));
                 StartMirrors();
               },
           .changed =
               [this](StoredObject&& object) {
                 callbacks_.member_changed(std::move(object));
               },
           .update_read =
               [this](const StoreUpdate& update) { ForwardToCell(update); }}) {}

// The member directory determines whether this gateway follows the store by
// itself.
void StoreFollower::Start() {
  start_mirrors_at_ = MonotonicNow() + kDirectoryTimeout;
  members_.Start();
}

void StoreFollower::StartMirrors() {
  if (std::exchange(started_, true)) return;
  UpdateReaders(MonotonicNow());
  configuration_.Start();
  servers_.Start();
  objects_.Start();
}

void StoreFollower::OnStoreRegained() {
  configuration_.OnStoreRegained();
  servers_.OnStoreRegained();
  objects_.OnStoreRegained();
  members_.OnStoreRegained();
}

void StoreFollower::OnStoreUpdateRequest(const http::RequestEvent& request) {
  update_link_.OnRequest(request);
}

void StoreFollower::OnPeerState(const PeerState& state, TimePoint now) {
  if (state.store_regained_millis_ago != 0) {
    const auto ago = std::chrono::milliseconds(state.store_regained_millis_ago);
    peer_regained_at_ = std::max(peer_regained_at_, now - ago);
  }
  configuration_lag_.OnAdvertised(state.configuration,
                                  callbacks_.configuration_version(), now);
  server_lag_.OnAdvertised(state.servers_revision, servers_.newest_change(),
                           now);
  member_lag_.OnAdvertised(state.members_revision, members_.newest_change(),
                           now);
  configuration_link_.OnAdvertised(state.gateway, state.configuration, now);
  if (state.store_available) {
    peers_without_store_.erase(state.gateway);
  } else if (peers_without_store_.insert(state.gateway).second) {
    CheckStore();
  }
}

// Guards against gateways that get no response from the store like a peer, have
// not found that out because they make few calls, and become readers.
void StoreFollower::CheckStore() {
  if (store_.available()) configuration_.Refresh();
}

void StoreFollower::SetCell(const serving::Cell& cell, size_t readers,
                            size_t configuration_watchers, TimePoint now) {
  cell_ = cell;
  max_readers_ = readers;
  max_configuration_watchers_ = configuration_watchers;
  UpdateReaders(now);
}

bool StoreFollower::IsReader() const {
  return std::find(readers_.begin(), readers_.end(), own_name_) !=
         readers_.end();
}

bool StoreFollower::WatchesConfiguration() const {
  return std::find(configuration_watchers_.begin(),
                   configuration_watchers_.end(),
                   own_name_) != configuration_watchers_.end();
}

Duration StoreFollower::ConfigurationWatchWait() const {
  const Duration period = kConfigurationWatchPeriod;
  const auto own = std::find(configuration_watchers_.begin(),
                             configuration_watchers_.end(), own_name_);
  const auto rank = own - configuration_watchers_.begin();
  const auto ranks = std::max<int64_t>(1, std::ssize(configuration_watchers_));
  const Duration end = period * rank / ranks;
  const Duration since_end =
      (std::chrono::nanoseconds(WallClockNanos()) - end) % period;
  const Duration wait = period - since_end;
  return wait < kMinConfigurationWatchWait ? wait + period : wait;
}

// Guards against a cell that keeps stale state because its reader is
// partitioned from the store, stalls or stops. The reader is excluded as soon
// as it reports that or goes silent. A gateway that replaces it reads
// immediately, and one that has lost the store itself probes it as if it were
// alone.
void StoreFollower::UpdateReaders(TimePoint now) {
  update_readers_at_ = now + kReaderChoiceInterval;
  std::vector<std::string> healthy = peers_.HealthyPeersIn(cell_, now);
  if (store_.available() && !stopping_) healthy.push_back(own_name_);
  configuration_watchers_ = ChooseReaders(
      std::move(healthy), std::max(max_readers_, max_configuration_watchers_),
      callbacks_.cores);
  std::vector<std::string> readers = configuration_watchers_;
  if (readers.size() > max_readers_) readers.resize(max_readers_);
  if (readers != readers_) {
    LogInfo(
        "store_readers",
        {{"readers", fmt::format("{}", fmt::join(readers, ","))},
         {"cell",
          cell_.availability_zone.empty() ? "all" : cell_.availability_zone}});
    readers_ = std::move(readers);
  }
  const bool has_readers =
      !readers_.empty() && !IsReader() && store_.available();
  const bool waits_for_readers =
      now < wait_for_readers_until_ && store_.available();
  configuration_.SetReceivesUpdates((has_readers && !WatchesConfiguration()) ||
                                    waits_for_readers);
  servers_.SetReceivesUpdates(has_readers || waits_for_readers);
  objects_.SetReceivesUpdates(has_readers || waits_for_readers);
  members_.SetReceivesUpdates(has_readers);
}

void StoreFollower::ForwardToCell(const StoreUpdate& update) {
  if (IsReader()) update_link_.Send(peers_.AddressesIn(cell_), update);
}

void StoreFollower::OnStoreUpdate(StoreUpdate&& update) {
  if (update.kind == users_platform::kConfigurationKind) {
    configuration_source_ = ConfigurationSource::kReader;
    configuration_.OnStoreUpdate(std::move(update));
    configuration_source_ = ConfigurationSource::kStore;
    return;
  }
  if (update.kind == users_platform::kServerKind) {
    return servers_.OnStoreUpdate(std::move(update));
  }
  if (update.kind == kMemberKind)
    return members_.OnStoreUpdate(std::move(update));
  if (update.kind == kOperatorObjectsKind)
    objects_.OnStoreUpdate(std::move(update));
}

TimePoint StoreFollower::regained_at() const {
  return std::max(store_.available_since(), peer_regained_at_);
}

// Guards against a gateway that is rejected by the store and continues with
// stale keys and routes: a peer reads on its behalf.
void StoreFollower::ReadConfiguration(TimePoint now) {
  if (store_.available()) return configuration_.Refresh();
  if (!store_.reachable()) return;
  if (now - read_configuration_at_ < kConfigurationReadInterval) return;
  read_configuration_at_ = now;
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = users_platform::kConfigurationKind,
                            .name = users_platform::kConfigurationName},
      now + kConfigurationReadTimeout, [this](platform::StoreAnswer&& answer) {
        if (answer.outcome != platform::StoreOutcome::kOk) {
          return LogWarning("configuration_not_read",
                            {{"outcome", NameOf(answer.outcome)},
                             {"reason", answer.message}});
        }
        for (const auto& object : answer.objects)
          callbacks_.configuration_read(object, ConfigurationSource::kRelay);
      });
}

void StoreFollower::Run(TimePoint now) {
  if (now >= start_mirrors_at_) StartMirrors();
  if (now >= update_readers_at_) UpdateReaders(now);
  UpdateConfigurationAge(now);
  const bool lost = !store_.available();
  if (std::exchange(store_lost_, lost) != lost && lost) callbacks_.store_lost();
  if (configuration_lag_.IsLagging(callbacks_.configuration_version(), now)) {
    LogBehind();
    // The watch may be silent, whatever peers send.
    if (store_.available()) configuration_.Refresh();
  }
  configuration_link_.Run(callbacks_.configuration_version(), now);
  if (server_lag_.IsLagging(servers_.newest_change(), now)) servers_.Refresh();
  if (member_lag_.IsLagging(members_.newest_change(), now)) members_.Refresh();
}

void StoreFollower::LogBehind() {
  const uint64_t newest = configuration_lag_.newest_advertised();
  if (std::exchange(behind_logged_, newest) == newest) return;
  LogInfo("configuration_behind",
          {{"version", callbacks_.configuration_version()},
           {"newest", newest},
           {"store_available", store_.available()},
           {"readers", fmt::format("{}", fmt::join(readers_, ","))}});
}

Duration StoreFollower::ConfigurationAge(TimePoint now) const {
  if (callbacks_.configuration_version() == 0) return kNever - TimePoint{};
  return Remaining(now, configuration_stale_since_);
}

void StoreFollower::OnPaused(TimePoint now) {
  resumed_at_ = now;
  configuration_.ReadAgain();
  UpdateConfigurationAge(now);
}

void StoreFollower::OnConfigurationRead(TimePoint began) {
  if (began >= resumed_at_) resumed_at_ = kNever;
  UpdateConfigurationAge(MonotonicNow());
}

bool StoreFollower::IsConfigurationConfirmed(TimePoint now) const {
  const bool is_behind =
      configuration_lag_.PeersAhead(callbacks_.configuration_version());
  if (is_behind) return false;
  const bool reads = store_.available() && configuration_.following();
  if (resumed_at_ == kNever && reads) return true;
  const bool peers_have_reported =
      resumed_at_ == kNever || now >= resumed_at_ + kPeerReportDelay;
  return peers_have_reported && peers_.HasPeerWithStore(now);
}

// The configuration is current while the store responds and no peer is ahead.
void StoreFollower::UpdateConfigurationAge(TimePoint now) {
  const bool current =
      store_.available() && configuration_.following() &&
      !configuration_lag_.PeersAhead(callbacks_.configuration_version());
  if (current) {
    configuration_stale_since_ = kNever;
  } else if (configuration_stale_since_ == kNever) {
    configuration_stale_since_ = now;
  }
  if (IsConfigurationConfirmed(now)) {
    configuration_unconfirmed_since_ = kNever;
  } else if (configuration_unconfirmed_since_ == kNever) {
    configuration_unconfirmed_since_ = now;
  }
}

}  // namespace knapweedstile::gateway
