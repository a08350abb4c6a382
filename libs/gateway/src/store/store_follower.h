#ifndef KNAPWEEDSTILE_GATEWAY_STORE_FOLLOWER_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/server_event.h"
#include "peers/reader_choice.h"
#include "platform/store_answer.h"
#include "serving/cell.h"
#include "store/kind_mirror.h"
#include "store/lag_detector.h"
#include "store/store_update_link.h"

namespace knapweedstile::gateway {

class PeerLink;
class StoreCalls;
struct GatewaySettings;
struct PeerState;

// Follows what operators and backend servers write to the store: by watches of
// its own, or by what the readers of its cell pass on.
class StoreFollower {
 public:
  struct Callbacks {
    std::function<void(const platform::StoredObject&)> configuration_read;
    std::function<void(std::vector<platform::StoredObject>&&)> servers_listed;
    std::function<void(platform::StoredObject&&)> server_changed;
    std::function<void(std::vector<platform::StoredObject>&&)> objects_listed;
    std::function<void(platform::StoredObject&&)> object_changed;
    std::function<void(std::vector<platform::StoredObject>&&)> members_listed;
    std::function<void(platform::StoredObject&&)> member_changed;
    // The version in force; zero: none.
    std::function<uint64_t()> configuration_version;
    // Of a gateway; the strong ones read for the others.
    std::function<double(const std::string& gateway)> cores;
  };

  StoreFollower(boost::asio::io_context& io, const GatewaySettings& settings,
                StoreCalls& store, const PeerLink& peers, Callbacks ports);

  // Commands.
  void Start();
  void OnStoreRegained();
  // News that another entry passes on.
  void OnStoreUpdateRequest(const http::RequestEvent& request);
  void OnPeerState(const PeerState& state, TimePoint now);
  // Whose readers this entry follows, and may be one of; how many it has.
  void SetCell(const serving::Cell& cell, size_t readers, TimePoint now);
  // Of a gateway that has never been registered: until then it waits for its
  // cell's readers instead of following the store by itself, as all gateways of
  // a new fleet would.
  void SetWaitForReadersUntil(TimePoint until) noexcept {
    wait_for_readers_until_ = until;
  }
  // This entry reads for no others from now on.
  void Stop() noexcept { stopping_ = true; }
  // Chooses the readers anew and reads what others have been ahead of for long.
  void Run(TimePoint now);
  // Reads the configuration once more, through another entry where the store
  // does not answer here.
  void ReadConfiguration(TimePoint now);

  // Queries.
  // Which entries follow the store for this cell; none: each by itself.
  const std::vector<std::string>& readers() const noexcept { return readers_; }
  bool IsReader() const;
  // When the store came back last, as far as any entry tells; the start does
  // not count.
  TimePoint regained_at() const;
  bool knows_servers() const noexcept { return servers_.listed(); }
  uint64_t newest_server_change() const noexcept {
    return servers_.newest_change();
  }
  uint64_t newest_member_change() const noexcept {
    return members_.newest_change();
  }
  // How long ago the configuration was last known to be the present one; zero:
  // it is now.
  Duration ConfigurationAge(TimePoint now) const;
  // Takes note of it; after each version as well.
  void UpdateConfigurationAge(TimePoint now);

 private:
  void StartMirrors();
  void UpdateReaders(TimePoint now);
  void ForwardToCell(const StoreUpdate& news);
  void OnStoreUpdate(StoreUpdate&& news);

  std::string own_name_;
  StoreCalls& store_;
  const PeerLink& peers_;
  Callbacks callbacks_;
  StoreUpdateLink update_link_;
  KindMirror configuration_;
  KindMirror servers_;
  KindMirror objects_;
  KindMirror members_;
  LagDetector configuration_lag_;
  LagDetector server_lag_;
  LagDetector member_lag_;
  serving::Cell cell_;
  size_t max_readers_ = kReadersPerCell;
  std::vector<std::string> readers_;
  bool stopping_ = false;
  bool started_ = false;
  TimePoint start_mirrors_at_ = kNever;
  TimePoint wait_for_readers_until_{};
  TimePoint peer_regained_at_{};
  TimePoint read_configuration_at_{};
  // Since when the configuration may be an old one; kNever: it is the present.
  TimePoint configuration_stale_since_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_FOLLOWER_H_
