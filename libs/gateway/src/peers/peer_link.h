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

// Datagrams between entries: who uses which slots, who runs which batch items,
// who is alive. Soft state that expires; nothing is agreed on by it.
class PeerLink {
 public:
  struct Handlers {
    std::function<void(const PeerState&)> state_received;
    std::function<void(const std::string& instance)> preemption_requested;
    // A new process of an entry, or one that was not heard of for a while.
    std::function<void(const std::string& entry)> peer_started;
    // `draining`: it had said that it leaves.
    std::function<void(const std::string& entry, bool draining)> peer_lost;
    // The entries that are heard of are others, or one has told its zone.
    std::function<void()> membership_changed;
    // Whether a gateway of that name and zone is a peer of this one; the zone
    // is empty where the message does not name it.
    std::function<bool(const std::string& gateway, const std::string& zone)>
        is_peer;
    // What a gateway of another cell tells.
    std::function<void(const PeerState&)> summary_received;
    // It has not told anything for a while.
    std::function<void(const std::string& gateway)> summary_expired;
  };
  // What there is to tell of the servers of a cell.
  using CellUsage =
      std::function<serving::UsageByProcess(const serving::Cell&)>;

  PeerLink(boost::asio::io_context& io, std::string name, uint64_t start,
           Handlers handlers);

  Result<bool> Listen(const std::string& ip, uint32_t port);
  // The other entries as they registered themselves: name to "IP:PORT".
  void SetAddress(const std::string& entry, const std::string& address);
  void RemoveAddress(const std::string& entry);
  // Forgets all that are not among `peers`; names of those that were heard of.
  std::vector<std::string> KeepPeers(const std::set<std::string>& peers);
  // Gateways of other cells, which get summaries.
  void SetRemoteGateways(const std::vector<std::string>& addresses);

  // Which entry is in which cell from now on.
  void SetCells(const cluster::CellMap& cells);

  // Sends the own state to every entry. `state` needs no name and number.
  void Broadcast(PeerState state);
  // Sends it to a few gateways of other cells, by lot: what one cell has read
  // of the store reaches all, also where a cell's reader is cut off or stalls.
  void AdvertiseToOtherCells(PeerState state);
  // Sends it to the gateways of other cells.
  void BroadcastSummary(PeerState state);
  // Sends the entries of each cell what has changed there, with the rest of
  // `state`; nothing where nothing has changed.
  void BroadcastByCell(PeerState state, const CellUsage& usage_in);
  void RequestPreemption(const std::string& entry, const std::string& instance);
  // Forgets entries that fell silent.
  void Expire(TimePoint now);

  // Entries heard of lately that take new batch work, without the own one.
  std::vector<std::string> ActivePeers() const;
  // Whether the entry is one of them.
  bool IsActivePeer(const std::string& entry) const;
  // Addresses ("IP:PORT") of all entries heard of lately.
  std::map<std::string, std::string> LiveAddresses() const;
  // Address of a live entry whose calls the store answers, first one of
  // `preferred`; empty if there is none.
  std::string AddressOfPeerWithStore(
      const std::vector<std::string>& preferred) const;
  // Entries of the cell that were heard just now, reach the store and stay.
  std::vector<std::string> HealthyPeersIn(const serving::Cell& cell,
                                          TimePoint now) const;
  // Addresses of the cell's entries, without the own one.
  std::vector<std::string> AddressesIn(const serving::Cell& cell) const;
  // Whether another live entry runs the item.
  bool IsRunningOnPeer(uint64_t item) const;
  // Availability zones of the entries heard of lately.
  std::map<std::string, std::string> Zones() const;

 private:
  struct Peer {
    PeerState state;
    TimePoint expires_at{};
  };

  void Receive();
  // "IP:PORT"; empty when the entry is not known.
  std::string AddressOf(const std::string& entry) const;
  void OnDatagram(std::string_view datagram,
                  const boost::asio::ip::udp::endpoint& sender);
  bool IsPeer(const PeerState& state) const;
  void OnSummary(const PeerState& state);
  // Keeps what a message told.
  void UpdatePeer(Peer& peer, const PeerState& state, bool is_new);
  // Names and numbers the message.
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
  // Entries heard of lately; of the whole fleet for the cell of all.
  std::vector<std::string> PeersIn(const serving::Cell& cell) const;

  std::map<serving::Cell, std::vector<std::string>> peers_by_cell_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PEER_LINK_H_
