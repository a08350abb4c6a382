#include "store/store_follower.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "base/clock.h"
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

// Operators' objects change seldom, and a change ends the wait. A watch that
// has gone silent is found when it is over, so this is how late a change can
// be.
constexpr std::chrono::milliseconds kObjectWatchWait{20000};
// Other entries' datagrams tell of a newer version within 0.3 s, and probes of
// a connection that has gone silent within 3 s: the wait itself bounds nothing.
constexpr std::chrono::milliseconds kConfigurationWatchWait{15000};
// Servers change in groups, when they start, leave or are replaced; each change
// would wake a watch of every entry. A draining server must be left within two
// seconds.
constexpr std::chrono::milliseconds kServerPause{300};
// A directory that takes longer to read must not hold up the rest.
constexpr std::chrono::milliseconds kDirectoryPatience{150};
// Gateways register in one moment when they all start.
constexpr std::chrono::milliseconds kMemberPause{500};
// Of reads through another entry: callers whose keys are gone ask for one each
// time.
constexpr std::chrono::milliseconds kConfigurationReadPause{1000};
constexpr std::chrono::milliseconds kConfigurationReadTimeout{800};

// Failure guarded against: a store that goes silent and comes back while a
// watch waits. The watch then brings the removal of live servers whose entries
// lapsed meanwhile, and nothing else tells that there was an outage. An entry
// lapses after three heartbeats, so a watch that is over before then has
// failed.
std::chrono::milliseconds ServerWatchWait(std::chrono::milliseconds heartbeat) {
  constexpr int kHeartbeatsToLapse = 3;
  constexpr std::chrono::milliseconds kTimeoutAndMargin{1000};
  constexpr std::chrono::milliseconds kLeastWait{300};
  return std::max(kLeastWait,
                  heartbeat * kHeartbeatsToLapse - kTimeoutAndMargin);
}

}  // namespace

StoreFollower::StoreFollower(boost::asio::io_context& io,
                             const GatewaySettings& settings, StoreCalls& store,
                             const PeerLink& peers, Callbacks ports)
    : own_name_(settings.name),
      store_(store),
      peers_(peers),
      callbacks_(std::move(ports)),
      update_link_(
          io, [this](StoreUpdate&& news) { OnStoreUpdate(std::move(news)); }),
      configuration_(
          io, store,
          {.kind = users_platform::kConfigurationKind,
           .watch_wait = kConfigurationWatchWait,
           .probes_lost_store = true},
          {.listed =
               [this](std::vector<StoredObject>&& objects) {
                 for (const auto& object : objects) {
                   callbacks_.configuration_read(object);
                 }
               },
           .changed =
               [this](StoredObject&& object) {
                 if (!object.deleted) callbacks_.configuration_read(object);
               },
           .update_read =
               [this](const StoreUpdate& news) { ForwardToCell(news); }}),
      servers_(io, store,
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
                    [this](const StoreUpdate& news) { ForwardToCell(news); }}),
      objects_(io, store,
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
                    [this](const StoreUpdate& news) { ForwardToCell(news); }}),
      members_(io, store,
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
                    [this](const StoreUpdate& news) { ForwardToCell(news); }}) {
}

// Who is there says whether this gateway follows the store by itself.
void StoreFollower::Start() {
  start_mirrors_at_ = MonotonicNow() + kDirectoryPatience;
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
}

void StoreFollower::SetCell(const serving::Cell& cell, size_t readers,
                            TimePoint now) {
  cell_ = cell;
  max_readers_ = readers;
  UpdateReaders(now);
}

bool StoreFollower::IsReader() const {
  return std::find(readers_.begin(), readers_.end(), own_name_) !=
         readers_.end();
}

// Failure guarded against: a reader that is cut off from the store, stalls or
// stops leaves its cell with what it knew. It is left out as soon as it says
// so or is silent; whoever takes its place reads at once, and whoever has lost
// the store itself looks for it again as if it were alone.
void StoreFollower::UpdateReaders(TimePoint now) {
  std::vector<std::string> sound = peers_.HealthyPeersIn(cell_, now);
  if (store_.available() && !stopping_) sound.push_back(own_name_);
  std::vector<std::string> readers =
      ChooseReaders(std::move(sound), max_readers_, callbacks_.cores);
  if (readers != readers_) {
    LogInfo(
        "store_readers",
        {{"readers", fmt::format("{}", fmt::join(readers, ","))},
         {"cell",
          cell_.availability_zone.empty() ? "all" : cell_.availability_zone}});
    readers_ = std::move(readers);
  }
  const bool fed = !readers_.empty() && !IsReader() && store_.available();
  const bool rests = now < wait_for_readers_until_ && store_.available();
  configuration_.SetReceivesUpdates(fed || rests);
  servers_.SetReceivesUpdates(fed || rests);
  objects_.SetReceivesUpdates(fed || rests);
  members_.SetReceivesUpdates(fed);
}

void StoreFollower::ForwardToCell(const StoreUpdate& news) {
  if (IsReader()) update_link_.Send(peers_.AddressesIn(cell_), news);
}

void StoreFollower::OnStoreUpdate(StoreUpdate&& news) {
  if (news.kind == users_platform::kConfigurationKind) {
    return configuration_.OnStoreUpdate(std::move(news));
  }
  if (news.kind == users_platform::kServerKind) {
    return servers_.OnStoreUpdate(std::move(news));
  }
  if (news.kind == kMemberKind) return members_.OnStoreUpdate(std::move(news));
  if (news.kind == kOperatorObjectsKind)
    objects_.OnStoreUpdate(std::move(news));
}

TimePoint StoreFollower::regained_at() const {
  return std::max(store_.available_since(), peer_regained_at_);
}

// Failure guarded against: a gateway that the store turns away goes on with the
// keys and routes that it knew for as long as that lasts. Others tell that
// there is a newer version, and one of them reads it for this one.
void StoreFollower::ReadConfiguration(TimePoint now) {
  if (store_.available()) return configuration_.Refresh();
  if (!store_.reachable()) return;
  if (now - read_configuration_at_ < kConfigurationReadPause) return;
  read_configuration_at_ = now;
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = users_platform::kConfigurationKind,
                            .name = users_platform::kConfigurationName},
      now + kConfigurationReadTimeout, [this](platform::StoreAnswer&& answer) {
        if (answer.outcome != platform::StoreOutcome::kOk) return;
        for (const auto& object : answer.objects)
          callbacks_.configuration_read(object);
      });
}

void StoreFollower::Run(TimePoint now) {
  if (now >= start_mirrors_at_) StartMirrors();
  UpdateReaders(now);
  UpdateConfigurationAge(now);
  if (configuration_lag_.IsLagging(callbacks_.configuration_version(), now))
    ReadConfiguration(now);
  if (server_lag_.IsLagging(servers_.newest_change(), now)) servers_.Refresh();
  if (member_lag_.IsLagging(members_.newest_change(), now)) members_.Refresh();
}

Duration StoreFollower::ConfigurationAge(TimePoint now) const {
  if (callbacks_.configuration_version() == 0) return kNever - TimePoint{};
  return Remaining(now, configuration_stale_since_);
}

// What is known is the present state while the store answers and no other entry
// is ahead.
void StoreFollower::UpdateConfigurationAge(TimePoint now) {
  const bool present =
      store_.available() && configuration_.following() &&
      !configuration_lag_.PeersAhead(callbacks_.configuration_version());
  if (present) {
    configuration_stale_since_ = kNever;
  } else if (configuration_stale_since_ == kNever) {
    configuration_stale_since_ = now;
  }
}

}  // namespace knapweedstile::gateway
