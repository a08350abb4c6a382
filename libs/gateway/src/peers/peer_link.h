#ifndef KNAPWEEDSTILE_GATEWAY_PEER_LINK_H_
#define KNAPWEEDSTILE_GATEWAY_PEER_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/rng.h"
#include "base/time.h"
#include "cluster/cell_map.h"
#include "peers/peer_state.h"

namespace knapweedstile::gateway {

// Exchanges UDP datagrams with peers: slot usage, running batch items and
// liveness. The state is soft and expires; no agreement between gateways
// depends on it.
class PeerLink {
 public:
  struct Handlers {
    std::function<void(const PeerState&)> state_received;
    std::function<void(const std::string& instance)> preemption_requested;
    // A peer process was seen for the first time, its reports resumed after a
    // timeout, or it starts items again.
    std::function<void(const std::string& peer)> peer_started;
    // The peer's reports expired. `draining`: its last report announced a
    // shutdown.
    std::function<void(const std::string& peer, bool draining)> peer_lost;
    // The set of live peers changed, or a peer's availability zone became known
    // or changed.
    std::function<void()> membership_changed;
    // Returns whether a gateway with this name and zone is a peer of this one.
    // The zone is empty if the message does not name it.
    std::function<bool(const std::string& gateway, const std::string& zone)>
        is_peer;
    // A summary from a gateway in another cell.
    std::function<void(const PeerState&)> summary_received;
    // No summary was received from the gateway within the timeout.
    std::function<void(const std::string& gateway)> summary_expired;
    // A datagram that is not a state, from the address "IP:PORT".
    std::function<void(std::string_view datagram, const std::string& sender)>
        other_datagram;
  };
  // Returns the changed usage of the servers in a cell.
  using CellUsage =
      std::function<serving::UsageByProcess(const serving::Cell&)>;

  PeerLink(boost::asio::io_context& io, std::string name, uint64_t start,
           Handlers handlers);

  Result<bool> Listen(const std::string& ip, uint32_t port);
  // Sets a peer's registered address, "IP:PORT".
  void SetAddress(const std::string& name, const std::string& address);
  void RemoveAddress(const std::string& name);
  // Removes all peers that are not in `peers`. Returns the names of the removed
  // peers that were live.
  std::vector<std::string> KeepPeers(const std::set<std::string>& peers);
  // Sets the gateways in other cells that receive summaries.
  void SetRemoteGateways(const std::vector<std::string>& addresses);

  // Assigns the live peers to cells.
  void SetCells(const cluster::CellMap& cells);

  // Sends this gateway's state to every peer. Sets its gateway name, start and
  // sequence number.
  void Broadcast(PeerState state);
  // Sends `state` to a few randomly chosen gateways in other cells. This
  // spreads what one cell has read from the store to all cells, even if a
  // cell's reader is partitioned or stalled.
  void AdvertiseToOtherCells(PeerState state);
  // Sends `state` to all gateways in other cells.
  void BroadcastSummary(PeerState state);
  // Sends the peers in each cell that cell's usage changes, together with the
  // rest of `state`. Cells without changes get no message.
  void BroadcastByCell(PeerState state, const CellUsage& usage_in);
  // Sends a datagram that is not a state to the gateway at "IP:PORT".
  void SendDatagram(const std::string& address, const std::string& datagram);
  void RequestPreemption(const std::string& name, const std::string& instance);
  // Removes peers and summaries whose timeout has passed.
  void Expire(TimePoint now);

  // Live peers that are not draining.
  std::vector<std::string> ActivePeers() const;
  bool IsActivePeer(const std::string& name) const;
  // Those of the active peers that report to be able to start batch items.
  std::vector<std::string> PeersStartingItems() const;
  bool StartsItems(const std::string& name) const;
  // Share of its processor time that a live peer has left, 0 to 1, by its last
  // report; none: unknown.
  std::optional<double> HeadroomOf(const std::string& name) const;
  // Whether a live peer can be sent a job's records in outline.
  bool TakesOutlines(const std::string& name) const;
  // Addresses ("IP:PORT") of all live peers, by name.
  std::map<std::string, std::string> LiveAddresses() const;
  // Address of a live peer that can reach the store, preferably one of
  // `preferred`, and none of the addresses `avoided` if there is another. Empty
  // if there is none.
  std::string AddressOfPeerWithStore(
      const std::vector<std::string>& preferred,
      const std::set<std::string>& avoided) const;
  // Peers in the cell that are not stalled, can reach the store and are not
  // draining.
  std::vector<std::string> HealthyPeersIn(const serving::Cell& cell,
                                          TimePoint now) const;
  // Whether a peer that is not stalled reports that it reaches the store.
  bool HasPeerWithStore(TimePoint now) const;
  // Addresses of the peers in the cell.
  std::vector<std::string> AddressesIn(const serving::Cell& cell) const;
  // Whether a live peer runs the item.
  bool IsRunningOnPeer(uint64_t item) const;
  // Availability zones of the live peers, by name.
  std::map<std::string, std::string> Zones() const;

 private:
  struct Peer {
    PeerState state;
    TimePoint expires_at{};
  };

  static bool IsHealthy(const Peer& peer, TimePoint now);
  void Receive();
  // "IP:PORT"; empty if the peer's address is unknown.
  std::string AddressOf(const std::string& name) const;
  void OnDatagram(std::string_view datagram,
                  const boost::asio::ip::udp::endpoint& sender);
  bool IsPeer(const PeerState& state) const;
  void OnSummary(const PeerState& state);
  // Stores a received state and extends the peer's expiry.
  void UpdatePeer(Peer& peer, const PeerState& state, bool is_new);
  // Sets the sender's name, start and the next sequence number, and serializes.
  std::string Encode(PeerState& state);
  void SendTo(const boost::asio::ip::udp::endpoint& to,
              const std::string& datagram);

  std::string name_;
  uint64_t start_;
  Handlers handlers_;
  uint64_t sequence_ = 0;
  boost::asio::ip::udp::socket socket_;
  std::map<std::string, boost::asio::ip::udp::endpoint> addresses_;
  std::map<std::string, Peer> peers_;
  std::vector<boost::asio::ip::udp::endpoint> remote_gateways_;
  Rng rng_;
  std::map<std::string, TimePoint> summaries_expire_at_;
  // Live peers in the cell; all live peers if `cell` is the undivided one.
  std::vector<std::string> PeersIn(const serving::Cell& cell) const;

  std::map<serving::Cell, std::vector<std::string>> peers_by_cell_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PEER_LINK_H_
