#include "wire/transport.h"

#include <google/protobuf/stubs/logging.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "backoff.h"
#include "base/clock.h"
#include "base/rng.h"
#include "connection.h"
#include "connection_owner.h"
#include "endpoint.h"
#include "event_queue.h"

namespace knapweedstile::wire {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// Ids chosen here have the top bit set; those of commands have not.
constexpr uint64_t kOwnIds = uint64_t{1} << 63;
// How soon an event that the sink refused is offered again.
constexpr std::chrono::milliseconds kRetryEvents{1};
// After an accept that failed, as when file descriptors have run out.
constexpr std::chrono::milliseconds kRetryAccept{100};
// How often a graceful end looks whether all is written and closed.
constexpr std::chrono::milliseconds kShutdownPoll{5};

}  // namespace

class Transport::Impl : public std::enable_shared_from_this<Transport::Impl>,
                        public ConnectionOwner {
 public:
  Impl(boost::asio::io_context& io, const TransportSettings& settings,
       EventSink sink)
      : io_(io),
        settings_(settings),
        events_(std::move(sink)),
        backoff_(settings.reconnect_first, settings.reconnect_most),
        rng_(std::random_device()()),
        acceptor_(io),
        accept_timer_(io),
        deliver_timer_(io),
        shutdown_timer_(io) {}

  Result<uint16_t> Listen(const std::string& address);
  void Close();
  void Shutdown(TimePoint deadline, const std::function<void()>& done);

  void Run(const ConnectCommand& command);
  void Run(const DisconnectCommand& command);
  void Run(const OpenStreamCommand& command);
  void Run(const CancelStreamCommand& command);
  void Run(const SendEventCommand& command);
  void Run(const SendControlCommand& command);
  void Run(SetHeartbeatCommand& command);

  const TransportCounters& counters_now() {
    counters_.events_delayed = events_.delayed();
    return counters_;
  }

 private:
  // A process that this one connects to, or a connection that was accepted.
  struct Peer {
    explicit Peer(boost::asio::io_context& io) : timer(io), socket(io) {}

    std::optional<tcp::endpoint> endpoint;  // none: accepted
    uint32_t failures = 0;                  // attempts failed in a row
    uint64_t attempt = 0;                   // under way; zero: none
    boost::asio::steady_timer timer;        // next attempt, or its timeout
    tcp::socket socket;                     // of the attempt under way
    std::shared_ptr<Connection> connection;
  };

  const TransportSettings& settings() const override { return settings_; }
  const pb::Heartbeat& heartbeat() const override { return heartbeat_; }
  TransportCounters& counters() override { return counters_; }
  std::span<char> read_buffer() override { return read_buffer_; }
  StreamId NewStreamId() override { return StreamId(kOwnIds | ++last_id_); }
  void Publish(TransportEvent&& event) override;
  bool DeliverEvents() override;
  void OnConnectionClosed(PeerId peer, PeerDownReason reason) override;

  void Attempt(PeerId id, Peer& peer);
  void OnAttempt(PeerId id, uint64_t attempt, const error_code& error);
  void AttemptFailed(PeerId id, Peer& peer);
  void ScheduleAttempt(PeerId id, Peer& peer);
  void Accept();
  void OnAccept(const error_code& error, tcp::socket socket);
  void Count(PeerDownReason reason);
  void ScheduleDelivery();
  void RetryDelivery();
  void ResumeReading();
  void PollShutdown(TimePoint deadline, const std::function<void()>& done);
  Peer* FindPeer(PeerId id);
  Connection* FindConnection(PeerId id);
  Connection* ConnectionOf(StreamId stream);
  std::vector<std::shared_ptr<Connection>> Connections() const;

  static constexpr size_t kReadBytes = 64 << 10;

  boost::asio::io_context& io_;
  const TransportSettings settings_;
  std::array<char, kReadBytes> read_buffer_;
  EventQueue events_;
  const Backoff backoff_;
  Rng rng_;
  pb::Heartbeat heartbeat_;
  TransportCounters counters_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer deliver_timer_;
  boost::asio::steady_timer shutdown_timer_;
  std::unordered_map<PeerId, Peer> peers_;
  std::unordered_map<StreamId, PeerId> stream_peers_;
  uint64_t last_id_ = 0;
  uint64_t last_attempt_ = 0;
  bool delivery_scheduled_ = false;
  bool delivery_blocked_ = false;
  bool shutting_down_ = false;
  bool closed_ = false;
};

Result<uint16_t> Transport::Impl::Listen(const std::string& address) {
  const std::optional<tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint) return Fail(ErrorCode::kInvalid, "not IP:PORT: " + address);
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    error_code ignored;
    acceptor_.close(ignored);
    return Fail(ErrorCode::kUnavailable,
                "cannot listen on " + address + ": " + error.message());
  }
  Accept();
  return acceptor_.local_endpoint(error).port();
}

void Transport::Impl::Accept() {
  acceptor_.async_accept(io_, [weak = weak_from_this()](const error_code& error,
                                                        tcp::socket socket) {
    const auto self = weak.lock();
    if (self && !self->closed_) self->OnAccept(error, std::move(socket));
  });
}

void Transport::Impl::OnAccept(const error_code& error, tcp::socket socket) {
  if (shutting_down_) return;
  if (error) {
    accept_timer_.expires_after(kRetryAccept);
    accept_timer_.async_wait([weak = weak_from_this()](const error_code& e) {
      const auto self = weak.lock();
      if (!e && self && !self->closed_) self->Accept();
    });
    return;
  }
  const PeerId id(kOwnIds | ++last_id_);
  Peer& peer = peers_.try_emplace(id, io_).first->second;
  peer.connection = std::make_shared<Connection>(
      std::move(socket), SessionSide::kAccepting, id, *this);
  peer.connection->Start();
  Accept();
}

void Transport::Impl::Run(const ConnectCommand& command) {
  if (closed_) return;
  const auto [found, inserted] = peers_.try_emplace(command.peer, io_);
  if (!inserted) return;
  found->second.endpoint = ParseEndpoint(command.address);
  if (!found->second.endpoint) {
    peers_.erase(found);
    Publish(PeerDownEvent{command.peer, PeerDownReason::kRefused, 1});
    return;
  }
  Attempt(command.peer, found->second);
}

void Transport::Impl::Attempt(PeerId id, Peer& peer) {
  const uint64_t attempt = peer.attempt = ++last_attempt_;
  peer.socket = tcp::socket(io_);
  const auto done = [weak = weak_from_this(), id,
                     attempt](const error_code& error) {
    const auto self = weak.lock();
    if (self && !self->closed_) self->OnAttempt(id, attempt, error);
  };
  peer.socket.async_connect(*peer.endpoint, done);
  peer.timer.expires_after(settings_.connect_timeout);
  peer.timer.async_wait([done](const error_code& error) {
    if (!error) done(boost::asio::error::timed_out);
  });
}

void Transport::Impl::OnAttempt(PeerId id, uint64_t attempt,
                                const error_code& error) {
  Peer* peer = FindPeer(id);
  // The timeout and the end of the attempt race; the first one counts.
  if (peer == nullptr || peer->attempt != attempt) return;
  peer->attempt = 0;
  peer->timer.cancel();
  if (error) return AttemptFailed(id, *peer);
  peer->connection = std::make_shared<Connection>(
      std::move(peer->socket), SessionSide::kOpening, id, *this);
  peer->connection->Start();
}

void Transport::Impl::AttemptFailed(PeerId id, Peer& peer) {
  error_code ignored;
  peer.socket.close(ignored);
  ++peer.failures;
  Publish(PeerDownEvent{id, PeerDownReason::kRefused, peer.failures});
  ScheduleAttempt(id, peer);
}

void Transport::Impl::ScheduleAttempt(PeerId id, Peer& peer) {
  peer.timer.expires_after(backoff_.Next(peer.failures, rng_));
  peer.timer.async_wait([weak = weak_from_this(), id](const error_code& error) {
    const auto self = weak.lock();
    if (error || !self || self->closed_ || self->shutting_down_) return;
    Peer* found = self->FindPeer(id);
    if (found != nullptr && !found->connection) self->Attempt(id, *found);
  });
}

void Transport::Impl::OnConnectionClosed(PeerId id, PeerDownReason reason) {
  Peer* peer = FindPeer(id);
  if (peer == nullptr) return;
  Count(reason);
  const bool was_up = peer->connection->up();
  const bool opening = peer->endpoint.has_value();
  peer->connection.reset();
  if (was_up) peer->failures = 0;
  if (!was_up && opening) ++peer->failures;
  // An accepted connection that never said Hello was never reported.
  if (was_up || opening) Publish(PeerDownEvent{id, reason, peer->failures});
  if (!opening || reason == PeerDownReason::kRequested) {
    peers_.erase(id);
    return;
  }
  ScheduleAttempt(id, *peer);
}

void Transport::Impl::Count(PeerDownReason reason) {
  if (reason == PeerDownReason::kSilent) ++counters_.connections_silent;
  if (reason == PeerDownReason::kProtocol) ++counters_.connections_protocol;
}

void Transport::Impl::Run(const DisconnectCommand& command) {
  Peer* peer = FindPeer(command.peer);
  if (peer == nullptr) return;
  if (peer->connection) {
    const auto connection = peer->connection;
    return connection->Close(PeerDownReason::kRequested);
  }
  const uint32_t failures = peer->failures;
  peers_.erase(command.peer);
  Publish(PeerDownEvent{command.peer, PeerDownReason::kRequested, failures});
}

void Transport::Impl::Run(const OpenStreamCommand& command) {
  Connection* connection = FindConnection(command.peer);
  const bool opened = connection != nullptr && connection->up() &&
                      connection->OpenStream(command.stream, command.request);
  if (opened) {
    stream_peers_[command.stream] = command.peer;
  } else {
    Publish(StreamClosedEvent{command.stream, StreamLoss::kNotSent});
  }
}

void Transport::Impl::Run(const CancelStreamCommand& command) {
  Connection* connection = ConnectionOf(command.stream);
  if (connection == nullptr) return;
  connection->CancelStream(command.stream);
  stream_peers_.erase(command.stream);
}

void Transport::Impl::Run(const SendEventCommand& command) {
  Connection* connection = ConnectionOf(command.stream);
  if (connection == nullptr) return;
  connection->SendEvent(command.stream, command.event, command.last);
  if (command.last) stream_peers_.erase(command.stream);
}

void Transport::Impl::Run(const SendControlCommand& command) {
  Connection* connection = FindConnection(command.peer);
  if (connection != nullptr && connection->up()) {
    connection->SendControl(command.control);
  }
}

void Transport::Impl::Run(SetHeartbeatCommand& command) {
  // A goodbye does not wait for the period: the sooner the other ends hear it,
  // the less work is sent here in vain.
  const bool news = command.heartbeat.leaving() != heartbeat_.leaving();
  heartbeat_ = std::move(command.heartbeat);
  if (!news) return;
  for (const auto& connection : Connections()) connection->SendHeartbeat();
}

void Transport::Impl::Publish(TransportEvent&& event) {
  if (closed_) return;
  if (const auto* opened = std::get_if<StreamOpenedEvent>(&event)) {
    stream_peers_[opened->stream] = opened->peer;
  } else if (const auto* output = std::get_if<StreamEvent>(&event)) {
    if (output->last) stream_peers_.erase(output->stream);
  } else if (const auto* lost = std::get_if<StreamClosedEvent>(&event)) {
    stream_peers_.erase(lost->stream);
  }
  events_.Push(std::move(event));
  ScheduleDelivery();
}

void Transport::Impl::ScheduleDelivery() {
  if (delivery_scheduled_ || delivery_blocked_) return;
  delivery_scheduled_ = true;
  boost::asio::post(io_, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->delivery_scheduled_ = false;
    if (!self->closed_) self->DeliverEvents();
  });
}

bool Transport::Impl::DeliverEvents() {
  if (delivery_blocked_) return false;
  if (events_.Flush()) return true;
  delivery_blocked_ = true;
  RetryDelivery();
  return false;
}

void Transport::Impl::RetryDelivery() {
  deliver_timer_.expires_after(kRetryEvents);
  deliver_timer_.async_wait([weak = weak_from_this()](const error_code& e) {
    const auto self = weak.lock();
    if (e || !self || self->closed_) return;
    self->delivery_blocked_ = false;
    if (self->DeliverEvents()) self->ResumeReading();
  });
}

void Transport::Impl::ResumeReading() {
  for (const auto& connection : Connections()) connection->ResumeReading();
}

Transport::Impl::Peer* Transport::Impl::FindPeer(PeerId id) {
  const auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

Connection* Transport::Impl::FindConnection(PeerId id) {
  Peer* peer = FindPeer(id);
  return peer == nullptr ? nullptr : peer->connection.get();
}

Connection* Transport::Impl::ConnectionOf(StreamId stream) {
  const auto found = stream_peers_.find(stream);
  return found == stream_peers_.end() ? nullptr : FindConnection(found->second);
}

std::vector<std::shared_ptr<Connection>> Transport::Impl::Connections() const {
  std::vector<std::shared_ptr<Connection>> connections;
  for (const auto& [id, peer] : peers_) {
    if (peer.connection) connections.push_back(peer.connection);
  }
  return connections;
}

void Transport::Impl::Shutdown(TimePoint deadline,
                               const std::function<void()>& done) {
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  shutting_down_ = true;
  PollShutdown(deadline, done);
}

void Transport::Impl::PollShutdown(TimePoint deadline,
                                   const std::function<void()>& done) {
  const auto connections = Connections();
  for (const auto& connection : connections) connection->FinishSending();
  if (connections.empty() || MonotonicNow() >= deadline) return done();
  shutdown_timer_.expires_after(kShutdownPoll);
  shutdown_timer_.async_wait(
      [self = shared_from_this(), deadline, done](const error_code& error) {
        if (!error) self->PollShutdown(deadline, done);
      });
}

void Transport::Impl::Close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  deliver_timer_.cancel();
  for (const auto& connection : Connections()) connection->Abort();
  peers_.clear();
  stream_peers_.clear();
}

Transport::Transport(boost::asio::io_context& io,
                     const TransportSettings& settings, EventSink sink)
    : impl_(std::make_shared<Impl>(io, settings, std::move(sink))) {
  // The library writes its own lines to standard error for each message that
  // cannot be read; here those are counted outcomes.
  google::protobuf::SetLogHandler(nullptr);
}

Transport::~Transport() { impl_->Close(); }

Result<uint16_t> Transport::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void Transport::Execute(TransportCommand&& command) {
  std::visit([this](auto& c) { impl_->Run(c); }, command);
}

void Transport::Shutdown(TimePoint deadline,
                         const std::function<void()>& done) {
  impl_->Shutdown(deadline, done);
}

void Transport::Close() { impl_->Close(); }

const TransportCounters& Transport::counters() const {
  return impl_->counters_now();
}

}  // namespace knapweedstile::wire
