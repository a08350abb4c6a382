#ifndef KNAPWEEDSTILE_WIRE_TESTS_FLEET_NODE_H_
#define KNAPWEEDSTILE_WIRE_TESTS_FLEET_NODE_H_

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "wire/transport.h"

namespace knapweedstile::wire {

// Settings with which tests do not wait long; no verdict depends on them.
inline TransportSettings QuickSettings(const std::string& name) {
  TransportSettings settings;
  settings.hello.set_node(name);
  settings.heartbeat_period = std::chrono::milliseconds(20);
  // Long: only the tests of silence shorten it, so that a busy machine cannot
  // make a healthy connection look silent elsewhere.
  settings.silence_limit = std::chrono::seconds(30);
  settings.connect_timeout = std::chrono::seconds(30);
  settings.reconnect_first = std::chrono::milliseconds(5);
  settings.reconnect_most = std::chrono::milliseconds(50);
  return settings;
}

// A transport with everything it reported. `on_event` runs in the sink.
struct FleetNode {
  FleetNode(boost::asio::io_context& io, const TransportSettings& settings)
      : transport(io, settings, [this](TransportEvent&& event) {
          if (refuse_events) return false;
          Keep(std::move(event));
          return true;
        }) {}

  std::string Listen() {
    const Result<uint16_t> bound = transport.Listen("127.0.0.1:0");
    REQUIRE(bound);
    return "127.0.0.1:" + std::to_string(bound.value());
  }

  void Keep(TransportEvent&& event) {
    if (auto* up = std::get_if<PeerUpEvent>(&event)) ups.push_back(*up);
    if (auto* down = std::get_if<PeerDownEvent>(&event)) downs.push_back(*down);
    if (auto* control = std::get_if<ControlEvent>(&event)) {
      controls.push_back(*control);
    }
    if (auto* opened = std::get_if<StreamOpenedEvent>(&event)) {
      this->opened.push_back(*opened);
    }
    if (auto* output = std::get_if<StreamEvent>(&event)) {
      outputs[output->stream].push_back(*output);
    }
    if (auto* closed = std::get_if<StreamClosedEvent>(&event)) {
      this->closed.emplace(closed->stream, closed->loss);
    }
    if (on_event) on_event(event);
  }

  bool finished(StreamId stream) const {
    const auto found = outputs.find(stream);
    return found != outputs.end() && found->second.back().last;
  }

  bool lost(StreamId stream) const { return closed.contains(stream); }

  bool refuse_events = false;
  std::function<void(TransportEvent&)> on_event;
  std::vector<PeerUpEvent> ups;
  std::vector<PeerDownEvent> downs;
  std::vector<ControlEvent> controls;
  std::vector<StreamOpenedEvent> opened;
  std::unordered_map<StreamId, std::vector<StreamEvent>> outputs;
  std::unordered_map<StreamId, StreamLoss> closed;
  Transport transport;
};

// Runs `io` until `done` holds. The limit only ends a test that hangs.
template <typename Predicate>
void RunUntil(boost::asio::io_context& io, Predicate done) {
  const TimePoint limit = MonotonicNow() + std::chrono::seconds(60);
  while (!done()) {
    REQUIRE(MonotonicNow() < limit);
    io.run_one_for(std::chrono::milliseconds(10));
    if (io.stopped()) io.restart();
  }
}

template <typename Rep, typename Period>
void RunFor(boost::asio::io_context& io,
            std::chrono::duration<Rep, Period> time) {
  const TimePoint until = MonotonicNow() + time;
  RunUntil(io, [&] { return MonotonicNow() >= until; });
}

inline OpenStreamCommand OpenWith(PeerId peer, uint64_t stream,
                                  std::string body) {
  OpenStreamCommand command{peer, StreamId(stream), {}};
  command.request.set_request_id(std::to_string(stream));
  command.request.set_body(std::move(body));
  return command;
}

inline SendEventCommand Output(StreamId stream, std::string data) {
  SendEventCommand command{stream, {}, false};
  command.event.mutable_output()->set_data(std::move(data));
  return command;
}

inline SendEventCommand Finish(StreamId stream) {
  SendEventCommand command{stream, {}, true};
  command.event.mutable_finished()->set_status(200);
  return command;
}

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_TESTS_FLEET_NODE_H_
