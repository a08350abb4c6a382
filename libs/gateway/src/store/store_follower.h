#ifndef KNAPWEEDSTILE_GATEWAY_STORE_FOLLOWER_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_FOLLOWER_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/server_event.h"
#include "peers/configuration_link.h"
#include "peers/reader_choice.h"
#include "platform/store_answer.h"
#include "serving/cell.h"
#include "store/configuration_source.h"
#include "store/kind_mirror.h"
#include "store/lag_detector.h"
#include "store/store_update_link.h"

namespace knapweedstile::gateway {

class PeerLink;
class StoreCalls;
struct GatewaySettings;
struct PeerState;

// Follows what operators and backend servers write to the store, either with
// watches of its own or through updates from the readers of its cell.
class StoreFollower {
 public:
  struct Callbacks {
    std::function<void(const platform::StoredObject&, ConfigurationSource)>
        configuration_read;
    std::function<void(std::vector<platform::StoredObject>&&)> servers_listed;
    std::function<void(platform::StoredObject&&)> server_changed;
    std::function<void(std::vector<platform::StoredObject>&&)> objects_listed;
    std::function<void(platform::StoredObject&&)> object_changed;
    std::function<void(std::vector<platform::StoredObject>&&)> members_listed;
    std::function<void(platform::StoredObject&&)> member_changed;
    // Address of a gateway, "IP:PORT"; empty if unknown.
    std::function<std::string(const std::string& gateway)> address_of;
    // This gateway has lost the store, which peers should know.
    std::function<void()> store_lost;
    // The active configuration version; zero if there is none.
    std::function<uint64_t()> configuration_version;
    // Number of cores of a gateway; those with more cores read on behalf of the
    // others.
    std::function<double(const std::string& gateway)> cores;
  };

  StoreFollower(boost::asio::io_context& io, const GatewaySettings& settings,
                StoreCalls& store, const PeerLink& peers, Callbacks callbacks);

  // Commands.
  void Start();
  void OnStoreRegained();
  // The process was suspended: what it knows may be old.
  void OnPaused(TimePoint now);
  // A record names a version of the configuration.
  void OnConfigurationNamed(uint64_t version, TimePoint now) {
    configuration_lag_.OnAdvertised(version, callbacks_.configuration_version(),
                                    now);
  }
  // Handles a store update forwarded by a peer.
  void OnStoreUpdateRequest(const http::RequestEvent& request);
  void OnPeerState(const PeerState& state, TimePoint now);
  // Sets the cell whose readers this gateway follows and may be one of, and the
  // numbers of its readers and of its gateways that watch the configuration.
  void SetCell(const serving::Cell& cell, size_t readers,
               size_t configuration_watchers, TimePoint now);
  // Sets the configuration in force, which other gateways may fetch.
  void SetConfiguration(const platform::StoredObject& object) {
    configuration_link_.SetInForce(object);
  }
  // Makes a newly registered gateway wait for its cell's readers until `until`.
  // Otherwise all gateways of a new fleet would follow the store by themselves.
  void SetWaitForReadersUntil(TimePoint until) noexcept {
    wait_for_readers_until_ = until;
  }
  // This gateway no longer reads on behalf of others.
  void Stop() noexcept { stopping_ = true; }
  // Updates the choice of readers, and reads what peers have been ahead of for
  // too long.
  void Run(TimePoint now);
  // Reads the configuration again, through a peer if this gateway cannot reach
  // the store.
  void ReadConfiguration(TimePoint now);

  // Queries.
  //
  // The gateways that follow the store for this cell; empty if each does so by
  // itself.
  const std::vector<std::string>& readers() const noexcept { return readers_; }
  bool IsReader() const;
  // When the store last became available after an outage, according to this
  // gateway or any peer; zero if there was no outage since the start.
  TimePoint regained_at() const;
  // The response to a gateway that asks for the configuration.
  std::string ConfigurationResponse() const {
    return configuration_link_.Response();
  }
  bool knows_servers() const noexcept { return servers_.listed(); }
  uint64_t newest_server_change() const noexcept {
    return servers_.newest_change();
  }
  uint64_t newest_member_change() const noexcept {
    return members_.newest_change();
  }
  // Time since the configuration was last known to be current; zero if it is
  // current now.
  Duration ConfigurationAge(TimePoint now) const;
  uint64_t newest_configuration() const {
    return std::max(callbacks_.configuration_version(),
                    configuration_lag_.newest_advertised());
  }
  // Since when neither the store nor a peer that reads it has confirmed the
  // configuration in force; kNever if one of them does. What arrives here later
  // may have been accepted under a newer one.
  TimePoint configuration_unconfirmed_since() const noexcept {
    return configuration_unconfirmed_since_;
  }
  // Updates what ConfigurationAge() returns; also called after each new
  // version.
  void UpdateConfigurationAge(TimePoint now);

 private:
  void StartMirrors();
  void UpdateReaders(TimePoint now);
  // Whether this gateway watches the configuration, reader or not.
  bool WatchesConfiguration() const;
  // Until when the next watch of the configuration waits, from now.
  Duration ConfigurationWatchWait() const;
  void CheckStore();
  void ForwardToCell(const StoreUpdate& update);
  void OnStoreUpdate(StoreUpdate&& update);
  void LogBehind();
  void OnConfigurationRead(TimePoint began);
  bool IsConfigurationConfirmed(TimePoint now) const;

  std::string own_name_;
  StoreCalls& store_;
  const PeerLink& peers_;
  Callbacks callbacks_;
  StoreUpdateLink update_link_;
  ConfigurationLink configuration_link_;
  KindMirror configuration_;
  KindMirror servers_;
  KindMirror objects_;
  KindMirror members_;
  LagDetector configuration_lag_;
  LagDetector server_lag_;
  LagDetector member_lag_;
  serving::Cell cell_;
  size_t max_readers_ = kReadersPerCell;
  size_t max_configuration_watchers_ = kConfigurationWatchersPerCell;
  std::vector<std::string> readers_;
  std::vector<std::string> configuration_watchers_;
  // Peers that have reported to have lost the store.
  std::set<std::string> peers_without_store_;
  bool store_lost_ = false;  // as last reported to peers
  TimePoint update_readers_at_{};
  bool stopping_ = false;
  bool started_ = false;
  TimePoint start_mirrors_at_ = kNever;
  TimePoint wait_for_readers_until_{};
  TimePoint peer_regained_at_{};
  TimePoint read_configuration_at_{};
  // Of what the configuration's mirror delivers now.
  ConfigurationSource configuration_source_ = ConfigurationSource::kStore;
  uint64_t behind_logged_ = 0;  // the version that was logged last
  // Since when the configuration may be stale; kNever if it is current.
  TimePoint configuration_stale_since_{};
  TimePoint configuration_unconfirmed_since_{};
  // After a suspension, until the configuration was read or peers have had time
  // to report; kNever: not suspended.
  TimePoint resumed_at_ = kNever;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_FOLLOWER_H_
