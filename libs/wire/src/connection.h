#ifndef KNAPWEEDSTILE_WIRE_CONNECTION_H_
#define KNAPWEEDSTILE_WIRE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "connection_owner.h"
#include "heartbeat_clock.h"
#include "http2_session.h"

namespace knapweedstile::wire {

// One established TCP connection: moves bytes between the socket and the
// Http2Session, sends heartbeats, judges silence. Held by the transport;
// handlers under way keep it alive until they have run.
class Connection : public std::enable_shared_from_this<Connection>,
                   private SessionListener {
 public:
  Connection(boost::asio::ip::tcp::socket socket, SessionSide side, PeerId peer,
             ConnectionOwner& owner);

  // Says Hello and begins to read.
  void Start();
  // Reports every stream as lost, then itself to the owner. Does nothing the
  // second time.
  void Close(PeerDownReason reason);
  // Ends without a word to the owner, which is going away.
  void Abort();
  // Once all is written, closes the sending side only: the other end reads what
  // is on its way and then closes. False while something is still to be
  // written.
  bool FinishSending();

  bool OpenStream(StreamId stream, const pb::RunRequest& request);
  void SendEvent(StreamId stream, const pb::RunEvent& event, bool last);
  void CancelStream(StreamId stream);
  void SendControl(const pb::Control& control);
  void SendHeartbeat();
  // Reads on after events were refused.
  void ResumeReading();

  PeerId peer() const noexcept { return peer_; }
  // The other end's Hello has arrived.
  bool up() const noexcept { return up_; }

 private:
  static constexpr size_t kWriteBytes = 256 << 10;
  // A write buffer that grew in a burst is given back.
  static constexpr size_t kKeptWriteBytes = 16 << 10;

  StreamId NewStreamId() override;
  bool OnControl(pb::Control&& control) override;
  bool OnStreamOpened(StreamId stream, pb::RunRequest&& request) override;
  void OnStreamEvent(StreamId stream, pb::RunEvent&& event, bool last) override;
  void OnStreamClosed(StreamId stream, StreamLoss loss) override;

  bool TakeHello(pb::Hello&& hello);
  bool TakeControl(pb::Control&& control);
  void Read();
  void OnReadable();
  void Take(std::string_view bytes);
  void ScheduleWrite();
  void Write();
  void ScheduleTick();
  void Tick();
  void CloseSocket();

  const PeerId peer_;
  ConnectionOwner& owner_;  // not touched once closed
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Http2Session session_;
  HeartbeatClock clock_;
  std::string write_buffer_;
  const TimePoint started_;
  TimePoint last_received_;
  TimePoint last_tick_;
  bool up_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool writing_ = false;  // a write is under way or posted
  bool sending_finished_ = false;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_CONNECTION_H_
