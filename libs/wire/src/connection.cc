#include "connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

#include "base/clock.h"

namespace knapweedstile::wire {

using boost::system::error_code;

Connection::Connection(boost::asio::ip::tcp::socket socket, SessionSide side,
                       PeerId peer, ConnectionOwner& owner)
    : peer_(peer),
      owner_(owner),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      session_(side, owner.settings(), *this, owner.counters()),
      started_(MonotonicNow()),
      last_received_(started_),
      last_tick_(started_) {
  error_code ignored;
  // Token events are small and must not wait for each other's acknowledgement.
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void Connection::Start() {
  pb::Control control;
  *control.mutable_hello() = owner_.settings().hello;
  // The accepting end has no control stream yet; its Hello follows the other's.
  session_.SendControl(control);
  ScheduleWrite();
  Read();
  ScheduleTick();
}

void Connection::Close(PeerDownReason reason) {
  if (closed_) return;
  session_.Abandon();
  CloseSocket();
  owner_.OnConnectionClosed(peer_, reason);
}

void Connection::Abort() { CloseSocket(); }

void Connection::CloseSocket() {
  closed_ = true;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

bool Connection::OpenStream(StreamId stream, const pb::RunRequest& request) {
  if (!session_.OpenStream(stream, request)) return false;
  ScheduleWrite();
  return true;
}

void Connection::SendEvent(StreamId stream, const pb::RunEvent& event,
                           bool last) {
  session_.SendEvent(stream, event, last);
  ScheduleWrite();
}

void Connection::CancelStream(StreamId stream) {
  session_.CancelStream(stream);
  ScheduleWrite();
}

void Connection::SendControl(const pb::Control& control) {
  session_.SendControl(control);
  ScheduleWrite();
}

void Connection::SendHeartbeat() {
  // Behind a blocked socket a second heartbeat would only queue up.
  if (!up_ || session_.control_blocked()) return;
  pb::Control control;
  *control.mutable_heartbeat() = owner_.heartbeat();
  clock_.Stamp(*control.mutable_heartbeat(), MonotonicNow(), WallClockNanos());
  SendControl(control);
}

StreamId Connection::NewStreamId() { return owner_.NewStreamId(); }

bool Connection::OnControl(pb::Control&& control) {
  if (up_) return TakeControl(std::move(control));
  return control.has_hello() && TakeHello(std::move(*control.mutable_hello()));
}

bool Connection::TakeHello(pb::Hello&& hello) {
  up_ = true;
  owner_.Publish(PeerUpEvent{peer_, session_.accepting(), std::move(hello)});
  if (session_.accepting()) {
    pb::Control answer;
    *answer.mutable_hello() = owner_.settings().hello;
    session_.SendControl(answer);
  }
  SendHeartbeat();
  return true;
}

bool Connection::TakeControl(pb::Control&& control) {
  if (control.has_hello()) return false;
  if (control.has_heartbeat()) {
    clock_.Take(control.heartbeat(), MonotonicNow(), WallClockNanos());
  }
  const ClockOffset& offset = clock_.offset();
  owner_.Publish(ControlEvent{peer_, std::move(control), offset.offset_nanos(),
                              offset.round_trip_nanos()});
  return true;
}

bool Connection::OnStreamOpened(StreamId stream, pb::RunRequest&& request) {
  // A request before Hello comes from a process that is not one of ours.
  if (!up_) return false;
  owner_.Publish(StreamOpenedEvent{peer_, stream, std::move(request)});
  return true;
}

void Connection::OnStreamEvent(StreamId stream, pb::RunEvent&& event,
                               bool last) {
  owner_.Publish(StreamEvent{stream, std::move(event), last});
}

void Connection::OnStreamClosed(StreamId stream, StreamLoss loss) {
  owner_.Publish(StreamClosedEvent{stream, loss});
}

void Connection::Read() {
  reading_ = true;
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->reading_ = false;
                       if (self->closed_) return;
                       if (error) return self->Close(PeerDownReason::kClosed);
                       self->OnReadable();
                     });
}

void Connection::OnReadable() {
  const std::span<char> buffer = owner_.read_buffer();
  error_code error;
  const size_t size = socket_.read_some(
      boost::asio::buffer(buffer.data(), buffer.size()), error);
  // Readiness may be reported without bytes.
  if (error == boost::asio::error::would_block) return Read();
  if (error) return Close(PeerDownReason::kClosed);
  Take(std::string_view(buffer.data(), size));
}

void Connection::Take(std::string_view bytes) {
  last_received_ = MonotonicNow();
  if (!session_.Receive(bytes)) return Close(PeerDownReason::kProtocol);
  ScheduleWrite();
  const bool delivered = owner_.DeliverEvents();
  // The sink may have closed this connection.
  if (!closed_ && delivered && !reading_) Read();
}

void Connection::ResumeReading() {
  if (closed_ || reading_) return;
  // What the other end sent meanwhile waits in the socket: it is not silent.
  last_received_ = MonotonicNow();
  Read();
}

bool Connection::FinishSending() {
  if (sending_finished_) return true;
  if (writing_ || session_.queued_bytes() > 0) return false;
  sending_finished_ = true;
  error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  return true;
}

void Connection::ScheduleWrite() {
  if (writing_ || closed_ || sending_finished_) return;
  writing_ = true;
  // Posted, so that everything submitted in one turn leaves in one write.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->closed_) self->Write();
  });
}

void Connection::Write() {
  write_buffer_.clear();
  if (!session_.TakeOutput(write_buffer_, kWriteBytes)) {
    return Close(PeerDownReason::kProtocol);
  }
  if (write_buffer_.empty()) {
    if (write_buffer_.capacity() > kKeptWriteBytes) {
      write_buffer_.shrink_to_fit();
    }
    writing_ = false;
    return;
  }
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buffer_),
      [self = shared_from_this()](const error_code& error, size_t) {
        if (self->closed_) return;
        if (error) return self->Close(PeerDownReason::kClosed);
        self->Write();
      });
}

void Connection::ScheduleTick() {
  timer_.expires_after(owner_.settings().heartbeat_period);
  timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error && !self->closed_) self->Tick();
  });
}

void Connection::Tick() {
  const TimePoint now = MonotonicNow();
  const TransportSettings& settings = owner_.settings();
  // Failure guarded against: this process itself was paused (SIGSTOP, a frozen
  // VM) and on waking takes every connection for silent, although the bytes
  // wait in its sockets. A tick that comes late by much of the limit shows the
  // pause; the other ends then get the whole limit again.
  const bool was_paused = now - last_tick_ > settings.silence_limit / 2;
  last_tick_ = now;
  if (was_paused || !reading_) last_received_ = now;
  // Failure guarded against: something between the two ends has lost track of
  // the connection, so that nothing arrives and no error ever comes. Closing
  // the socket here needs no answer; new connections get through.
  if (now - last_received_ > settings.silence_limit) {
    return Close(PeerDownReason::kSilent);
  }
  // Something else than a process of the system, which keeps the socket busy.
  if (!up_ && now - started_ > settings.silence_limit) {
    return Close(PeerDownReason::kProtocol);
  }
  if (session_.worn_out()) return Close(PeerDownReason::kClosed);
  SendHeartbeat();
  ScheduleTick();
}

}  // namespace knapweedstile::wire
