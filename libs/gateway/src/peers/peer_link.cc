#include "peers/peer_link.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/clock.h"
#include "base/log.h"

namespace knapweedstile::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Six messages at the slowest rate, so that a few lost datagrams do not make a
// peer look terminated.
constexpr std::chrono::milliseconds kPeerTimeout{1500};
// Longer than two lost datagrams. A peer that has been silent for longer is
// stalled and gets no duties for others.
constexpr std::chrono::milliseconds kStallThreshold{700};
constexpr size_t kMaxDatagramBytes = 60000;
constexpr int kRemoteGatewaysPerMessage = 3;
// Summaries are sent at least once a second while there is anything to report.
constexpr std::chrono::seconds kSummaryLifetime{5};

std::optional<udp::endpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  error_code ec;
  const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return udp::endpoint(ip, port);
}

}  // namespace

PeerLink::PeerLink(asio::io_context& io, std::string name, uint64_t start,
                   Handlers handlers)
    : name_(std::move(name)),
      start_(start),
      handlers_(std::move(handlers)),
      socket_(io),
      rng_(start) {}

Result<bool> PeerLink::Listen(const std::string& ip, uint32_t port) {
  const auto endpoint = ParseEndpoint(ip + ":" + std::to_string(port));
  if (!endpoint) return Fail(ErrorCode::kInvalid, "not an IP address: " + ip);
  error_code ec;
  socket_.open(endpoint->protocol(), ec);
  if (!ec) socket_.bind(*endpoint, ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (ec) return Fail(ErrorCode::kUnavailable, ec.message());
  Receive();
  return true;
}

void PeerLink::SetAddress(const std::string& name, const std::string& address) {
  if (name == name_) return;
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    LogWarning("peer_address_invalid", {{"entry", name}, {"address", address}});
    return;
  }
  addresses_[name] = *endpoint;
}

void PeerLink::RemoveAddress(const std::string& name) {
  addresses_.erase(name);
}

void PeerLink::Receive() {
  socket_.async_wait(udp::socket::wait_read, [this](const error_code& ec) {
    if (ec) return;
    std::array<char, kMaxDatagramBytes> buffer;
    while (true) {
      error_code failed;
      udp::endpoint sender;
      const size_t count =
          socket_.receive_from(asio::buffer(buffer), sender, 0, failed);
      if (failed == asio::error::would_block) break;
      // An ICMP error from an unreachable peer surfaces as a socket error.
      if (failed) continue;
      OnDatagram({buffer.data(), count}, sender);
    }
    Receive();
  });
}

void PeerLink::OnDatagram(std::string_view datagram,
                          const udp::endpoint& sender) {
  const auto state = DecodePeerState(datagram);
  if (!state) {
    return handlers_.other_datagram(
        datagram,
        sender.address().to_string() + ":" + std::to_string(sender.port()));
  }
  if (state->gateway == name_) return;
  if (state->summary) return OnSummary(*state);
  if (!IsPeer(*state)) {
    // A gateway in another cell requests the slot of a batch item of this one.
    if (!state->yield_instance.empty())
      handlers_.preemption_requested(state->yield_instance);
    return;
  }
  // A peer that has just started knows this gateway from the store before this
  // gateway knows it. Without a reply it would consider this gateway terminated
  // and take over its jobs.
  addresses_.insert_or_assign(state->gateway, sender);
  if (!state->yield_instance.empty()) {
    return handlers_.preemption_requested(state->yield_instance);
  }
  const auto [element, is_new] = peers_.try_emplace(state->gateway);
  Peer& peer = element->second;
  const bool older = std::pair(state->start, state->sequence) <=
                     std::pair(peer.state.start, peer.state.sequence);
  if (!is_new && older) return;
  if (is_new) LogInfo("peer_found", {{"entry", state->gateway}});
  const bool started = is_new || state->start != peer.state.start;
  const bool takes_jobs_back =
      !is_new && peer.state.starts_no_items && !state->starts_no_items;
  UpdatePeer(peer, *state, is_new);
  if (started || takes_jobs_back) handlers_.peer_started(state->gateway);
  handlers_.state_received(*state);
}

bool PeerLink::IsPeer(const PeerState& state) const {
  return peers_.contains(state.gateway) ||
         handlers_.is_peer(state.gateway, state.availability_zone);
}

void PeerLink::OnSummary(const PeerState& state) {
  summaries_expire_at_[state.gateway] = MonotonicNow() + kSummaryLifetime;
  handlers_.summary_received(state);
}

std::vector<std::string> PeerLink::KeepPeers(
    const std::set<std::string>& peers) {
  std::erase_if(addresses_, [&peers](const auto& element) {
    return !peers.contains(element.first);
  });
  std::vector<std::string> dropped;
  std::erase_if(peers_, [&](const auto& element) {
    if (peers.contains(element.first)) return false;
    dropped.push_back(element.first);
    return true;
  });
  return dropped;
}

void PeerLink::SetRemoteGateways(const std::vector<std::string>& addresses) {
  remote_gateways_.clear();
  for (const std::string& address : addresses) {
    if (const auto endpoint = ParseEndpoint(address)) {
      remote_gateways_.push_back(*endpoint);
    }
  }
}

void PeerLink::UpdatePeer(Peer& peer, const PeerState& state, bool is_new) {
  std::vector<uint64_t> items = std::move(peer.state.running_items);
  std::string zone = std::move(peer.state.availability_zone);
  peer.state = state;
  peer.expires_at = MonotonicNow() + kPeerTimeout;
  if (state.partial) {
    peer.state.running_items = std::move(items);
    peer.state.availability_zone = zone;
  }
  if (is_new || peer.state.availability_zone != zone) {
    handlers_.membership_changed();
  }
}

void PeerLink::SendTo(const udp::endpoint& to, const std::string& datagram) {
  error_code ec;
  // Send errors are ignored: the state is soft and the next message repeats it.
  socket_.send_to(asio::buffer(datagram), to, 0, ec);
}

void PeerLink::SetCells(const cluster::CellMap& cells) {
  peers_by_cell_.clear();
  for (const auto& [name, peer] : peers_) {
    peers_by_cell_[cells.CellOf(name)].push_back(name);
  }
}

std::string PeerLink::Encode(PeerState& state) {
  state.gateway = name_;
  state.start = start_;
  state.sequence = ++sequence_;
  return EncodePeerState(state);
}

void PeerLink::Broadcast(PeerState state) {
  if (addresses_.empty()) return;
  const std::string datagram = Encode(state);
  for (const auto& [name, address] : addresses_) SendTo(address, datagram);
}

void PeerLink::AdvertiseToOtherCells(PeerState state) {
  if (remote_gateways_.empty()) return;
  state.summary = true;
  const std::string datagram = Encode(state);
  for (int sent = 0; sent < kRemoteGatewaysPerMessage; ++sent) {
    SendTo(remote_gateways_[UniformBelow(rng_, remote_gateways_.size())],
           datagram);
  }
}

void PeerLink::BroadcastSummary(PeerState state) {
  state.summary = true;
  const std::string datagram = Encode(state);
  for (const udp::endpoint& address : remote_gateways_)
    SendTo(address, datagram);
}

void PeerLink::BroadcastByCell(PeerState state, const CellUsage& usage_in) {
  for (const auto& [cell, names] : peers_by_cell_) {
    state.usage = usage_in(cell);
    if (state.usage.empty()) continue;
    const std::string datagram = Encode(state);
    for (const std::string& name : names) {
      const auto address = addresses_.find(name);
      if (address != addresses_.end()) SendTo(address->second, datagram);
    }
  }
}

void PeerLink::SendDatagram(const std::string& address,
                            const std::string& datagram) {
  if (const auto endpoint = ParseEndpoint(address)) SendTo(*endpoint, datagram);
}

void PeerLink::RequestPreemption(const std::string& name,
                                 const std::string& instance) {
  const auto address = addresses_.find(name);
  if (address == addresses_.end()) return;
  PeerState state;
  state.yield_instance = instance;
  SendTo(address->second, Encode(state));
}

void PeerLink::Expire(TimePoint now) {
  std::erase_if(summaries_expire_at_, [&](const auto& summary) {
    if (summary.second > now) return false;
    handlers_.summary_expired(summary.first);
    return true;
  });
  std::vector<std::pair<std::string, bool>> lost;
  std::erase_if(peers_, [&](const auto& peer) {
    if (peer.second.expires_at > now) return false;
    lost.emplace_back(peer.first, peer.second.state.draining);
    return true;
  });
  for (const auto& [name, draining] : lost) {
    LogInfo("peer_lost", {{"entry", name}, {"draining", draining}});
    handlers_.peer_lost(name, draining);
  }
  if (!lost.empty()) handlers_.membership_changed();
}

std::vector<std::string> PeerLink::ActivePeers() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_) {
    if (!peer.state.draining) names.push_back(name);
  }
  return names;
}

std::optional<double> PeerLink::HeadroomOf(const std::string& name) const {
  const auto peer = peers_.find(name);
  return peer == peers_.end() ? std::nullopt : peer->second.state.headroom;
}

bool PeerLink::TakesOutlines(const std::string& name) const {
  const auto peer = peers_.find(name);
  return peer != peers_.end() && peer->second.state.takes_outlines;
}

bool PeerLink::IsActivePeer(const std::string& name) const {
  const auto peer = peers_.find(name);
  return peer != peers_.end() && !peer->second.state.draining;
}

std::vector<std::string> PeerLink::PeersStartingItems() const {
  std::vector<std::string> names = ActivePeers();
  std::erase_if(names, [this](const auto& name) { return !StartsItems(name); });
  return names;
}

bool PeerLink::StartsItems(const std::string& name) const {
  return IsActivePeer(name) && !peers_.at(name).state.starts_no_items;
}

std::map<std::string, std::string> PeerLink::Zones() const {
  std::map<std::string, std::string> zones;
  for (const auto& [name, peer] : peers_) {
    zones[name] = peer.state.availability_zone;
  }
  return zones;
}

std::map<std::string, std::string> PeerLink::LiveAddresses() const {
  std::map<std::string, std::string> live;
  for (const auto& [name, address] : addresses_) {
    if (peers_.contains(name)) live[name] = AddressOf(name);
  }
  return live;
}

std::string PeerLink::AddressOf(const std::string& name) const {
  const auto address = addresses_.find(name);
  if (address == addresses_.end()) return {};
  return address->second.address().to_string() + ":" +
         std::to_string(address->second.port());
}

std::string PeerLink::AddressOfPeerWithStore(
    const std::vector<std::string>& preferred,
    const std::set<std::string>& avoided) const {
  std::vector<std::string> candidates = preferred;
  for (const auto& [name, peer] : peers_) candidates.push_back(name);
  std::string fallback;
  for (const std::string& name : candidates) {
    const auto peer = peers_.find(name);
    if (peer == peers_.end() || !peer->second.state.store_available) continue;
    std::string address = AddressOf(name);
    if (address.empty()) continue;
    if (!avoided.contains(address)) return address;
    if (fallback.empty()) fallback = address;
  }
  return fallback;
}

std::vector<std::string> PeerLink::PeersIn(const serving::Cell& cell) const {
  if (cell == serving::Cell()) {
    std::vector<std::string> all;
    for (const auto& [name, peer] : peers_) all.push_back(name);
    return all;
  }
  const auto names = peers_by_cell_.find(cell);
  return names == peers_by_cell_.end() ? std::vector<std::string>()
                                       : names->second;
}

std::vector<std::string> PeerLink::HealthyPeersIn(const serving::Cell& cell,
                                                  TimePoint now) const {
  std::vector<std::string> healthy;
  for (const std::string& name : PeersIn(cell)) {
    const auto found = peers_.find(name);
    if (found == peers_.end()) continue;
    if (IsHealthy(found->second, now)) healthy.push_back(name);
  }
  return healthy;
}

bool PeerLink::IsHealthy(const Peer& peer, TimePoint now) {
  const Duration silence = now - (peer.expires_at - kPeerTimeout);
  return silence <= kStallThreshold && !peer.state.draining &&
         peer.state.store_available;
}

bool PeerLink::HasPeerWithStore(TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& peer) {
    return IsHealthy(peer.second, now);
  });
}

std::vector<std::string> PeerLink::AddressesIn(
    const serving::Cell& cell) const {
  std::vector<std::string> addresses;
  for (const std::string& name : PeersIn(cell)) {
    if (addresses_.contains(name)) addresses.push_back(AddressOf(name));
  }
  return addresses;
}

bool PeerLink::IsRunningOnPeer(uint64_t item) const {
  return std::any_of(peers_.begin(), peers_.end(), [item](const auto& peer) {
    const auto& items = peer.second.state.running_items;
    return std::find(items.begin(), items.end(), item) != items.end();
  });
}

}  // namespace knapweedstile::gateway
