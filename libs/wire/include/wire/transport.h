#ifndef KNAPWEEDSTILE_WIRE_TRANSPORT_H_
#define KNAPWEEDSTILE_WIRE_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "wire/transport_command.h"
#include "wire/transport_counters.h"
#include "wire/transport_event.h"
#include "wire/transport_settings.h"

namespace knapweedstile::wire {

// nghttp2 connections to other processes of the system: many request streams
// and one control stream a connection, heartbeats in both directions. Lives on
// one thread, that of `io`; every call and every event happens there.
class Transport {
 public:
  // False when the event could not be taken (ring full): the transport stops
  // reading from the connection that caused it until the event is taken.
  using EventSink = std::function<bool(TransportEvent&&)>;

  Transport(boost::asio::io_context& io, const TransportSettings& settings,
            EventSink sink);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Listens on `address` ("IP:PORT", port 0 picks one); the port bound.
  Result<uint16_t> Listen(const std::string& address);
  void Execute(TransportCommand&& command);
  // Graceful end: stops accepting and reconnecting, writes out what is queued,
  // closes the sending sides, and calls `done` once every other end has closed,
  // at `deadline` at the latest.
  //
  // Failure guarded against: a process that closes its sockets as soon as its
  // last answer is queued. What is unwritten is lost, and a socket closed with
  // unread heartbeats in it is reset, which destroys what the other end has not
  // read yet; callers would see answers cut short by a planned stop.
  void Shutdown(TimePoint deadline, const std::function<void()>& done);
  // Stops accepting and closes every connection; no event follows.
  void Close();

  const TransportCounters& counters() const;

 private:
  class Impl;
  // Shared with handlers under way, which find it closed.
  std::shared_ptr<Impl> impl_;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_TRANSPORT_H_
