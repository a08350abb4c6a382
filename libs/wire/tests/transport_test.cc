#include "wire/transport.h"

#include <chrono>
#include <set>
#include <string>

#include "fleet_node.h"

namespace knapweedstile::wire {
namespace {

constexpr PeerId kPeer{1};

// An entry connected to a sidecar.
struct Pair {
  explicit Pair(
      const TransportSettings& entry_settings = QuickSettings("entry"),
      const TransportSettings& sidecar_settings = QuickSettings("sidecar"))
      : entry(io, entry_settings), sidecar(io, sidecar_settings) {
    address = sidecar.Listen();
    entry.transport.Execute(ConnectCommand{kPeer, address});
    RunUntil(io, [&] { return !entry.ups.empty() && !sidecar.ups.empty(); });
  }

  boost::asio::io_context io;
  FleetNode entry;
  FleetNode sidecar;
  std::string address;
};

}  // namespace

TEST_CASE("both ends learn who the other is") {
  Pair pair;
  REQUIRE(pair.entry.ups[0].peer == kPeer);
  REQUIRE_FALSE(pair.entry.ups[0].accepted);
  REQUIRE(pair.entry.ups[0].hello.node() == "sidecar");
  REQUIRE(pair.sidecar.ups[0].accepted);
  REQUIRE(pair.sidecar.ups[0].hello.node() == "entry");
}

TEST_CASE("many streams at once: each gets the whole of its own answer") {
  Pair pair;
  constexpr uint64_t kStreams = 500;
  constexpr int kEvents = 20;
  pair.sidecar.on_event = [&](TransportEvent& event) {
    auto* opened = std::get_if<StreamOpenedEvent>(&event);
    if (opened == nullptr) return;
    for (int i = 0; i < kEvents; ++i) {
      pair.sidecar.transport.Execute(Output(
          opened->stream, opened->request.body() + ":" + std::to_string(i)));
    }
    pair.sidecar.transport.Execute(Finish(opened->stream));
  };
  for (uint64_t i = 1; i <= kStreams; ++i) {
    pair.entry.transport.Execute(OpenWith(kPeer, i, "b" + std::to_string(i)));
  }
  RunUntil(pair.io, [&] {
    for (uint64_t i = 1; i <= kStreams; ++i) {
      if (!pair.entry.finished(StreamId(i))) return false;
    }
    return true;
  });
  for (uint64_t i = 1; i <= kStreams; ++i) {
    const auto& outputs = pair.entry.outputs[StreamId(i)];
    REQUIRE(outputs.size() == kEvents + 1);
    for (int k = 0; k < kEvents; ++k) {
      REQUIRE(outputs[k].event.output().data() ==
              "b" + std::to_string(i) + ":" + std::to_string(k));
      REQUIRE_FALSE(outputs[k].last);
    }
    REQUIRE(outputs[kEvents].event.has_finished());
  }
  REQUIRE(pair.entry.closed.empty());
}

TEST_CASE("a cancelled stream ends at the other side, the rest go on") {
  // A caller disconnects while the model generates. The entry cancels the
  // stream; the sidecar must hear of it to free the engine's slot, and streams
  // beside it on the connection must not notice. All batch streams may be
  // cancelled in one moment, which must not look like an attack.
  Pair pair;
  constexpr uint64_t kStreams = 3000;
  for (uint64_t i = 1; i <= kStreams; ++i) {
    pair.entry.transport.Execute(OpenWith(kPeer, i, "x"));
  }
  RunUntil(pair.io, [&] { return pair.sidecar.opened.size() == kStreams; });
  for (uint64_t i = 2; i <= kStreams; ++i) {
    pair.entry.transport.Execute(CancelStreamCommand{StreamId(i)});
  }
  RunUntil(pair.io, [&] { return pair.sidecar.closed.size() == kStreams - 1; });
  const StreamId kept = pair.sidecar.opened[0].stream;
  REQUIRE_FALSE(pair.sidecar.lost(kept));
  pair.sidecar.transport.Execute(Finish(kept));
  RunUntil(pair.io, [&] { return pair.entry.finished(StreamId(1)); });
  pair.entry.transport.Execute(OpenWith(kPeer, kStreams + 1, "next"));
  RunUntil(pair.io, [&] { return pair.sidecar.opened.size() == kStreams + 1; });
  REQUIRE(pair.entry.closed.empty());
  REQUIRE(pair.entry.downs.empty());
}

TEST_CASE("heartbeats carry the set content and measure the round trip") {
  Pair pair;
  SetHeartbeatCommand command;
  command.heartbeat.set_config_revision(7);
  pair.sidecar.transport.Execute(std::move(command));
  const auto measured = [&] {
    if (pair.entry.controls.empty()) return false;
    const ControlEvent& last = pair.entry.controls.back();
    return last.control.heartbeat().config_revision() == 7 &&
           last.round_trip_nanos > 0;
  };
  RunUntil(pair.io, measured);
  const ControlEvent& last = pair.entry.controls.back();
  // Both ends read the same clock here: the offset is within the error bound.
  REQUIRE(std::abs(last.clock_offset_nanos) <= last.round_trip_nanos);
}

TEST_CASE("configuration messages pass in both directions") {
  Pair pair;
  pb::Control request;
  request.mutable_config_request()->set_since(3);
  pair.entry.transport.Execute(SendControlCommand{kPeer, request});
  pb::Control delta;
  delta.mutable_config_delta()->add_objects()->set_value(
      std::string(1 << 20, 'v'));
  pair.sidecar.transport.Execute(
      SendControlCommand{pair.sidecar.ups[0].peer, delta});
  const auto holds = [](const FleetNode& node, auto has) {
    for (const ControlEvent& event : node.controls) {
      if (has(event.control)) return true;
    }
    return false;
  };
  RunUntil(pair.io, [&] {
    return holds(pair.sidecar,
                 [](auto& c) { return c.has_config_request(); }) &&
           holds(pair.entry, [](auto& c) {
             return c.has_config_delta() &&
                    c.config_delta().objects(0).value().size() == 1 << 20;
           });
  });
}

TEST_CASE("a request that never left is said not to have been sent") {
  // The entry picks a sidecar whose connection is down, or goes down in the
  // same moment. Saying "unknown" would fail a booking that could safely go to
  // another server; saying "not sent" of one that left could run it twice.
  Pair pair;
  pair.entry.transport.Execute(OpenWith(PeerId(9), 1, "no such peer"));
  pair.entry.transport.Execute(OpenWith(kPeer, 2, "never handed out"));
  // Before the loop runs again nothing was given to the socket.
  pair.entry.transport.Execute(DisconnectCommand{kPeer});
  RunUntil(pair.io, [&] { return pair.entry.closed.size() == 2; });
  REQUIRE(pair.entry.closed.at(StreamId(1)) == StreamLoss::kNotSent);
  REQUIRE(pair.entry.closed.at(StreamId(2)) == StreamLoss::kNotSent);
  REQUIRE(pair.entry.downs.back().reason == PeerDownReason::kRequested);
  REQUIRE(pair.sidecar.opened.empty());
}

TEST_CASE("a request under way when the connection ends is unknown") {
  // The sidecar's VM dies while it holds a request. Whether the request ran
  // cannot be known from here, so it must not be reported as not sent.
  Pair pair;
  pair.entry.transport.Execute(OpenWith(kPeer, 1, "x"));
  RunUntil(pair.io, [&] { return pair.sidecar.opened.size() == 1; });
  pair.sidecar.transport.Close();
  RunUntil(pair.io, [&] { return pair.entry.lost(StreamId(1)); });
  REQUIRE(pair.entry.closed.at(StreamId(1)) == StreamLoss::kUnknown);
  RunUntil(pair.io, [&] { return !pair.entry.downs.empty(); });
  REQUIRE(pair.entry.downs[0].reason == PeerDownReason::kClosed);
}

TEST_CASE("streams over the accepted bound are refused as not run") {
  // A sidecar that is flooded refuses before it has read the request, which
  // the entry may then send elsewhere.
  TransportSettings few = QuickSettings("sidecar");
  few.max_streams = 4;
  Pair pair(QuickSettings("entry"), few);
  for (uint64_t i = 1; i <= 10; ++i) {
    pair.entry.transport.Execute(OpenWith(kPeer, i, "x"));
  }
  RunUntil(pair.io, [&] { return pair.entry.closed.size() == 6; });
  for (const auto& [stream, loss] : pair.entry.closed) {
    REQUIRE(loss == StreamLoss::kNotSent);
  }
  REQUIRE(pair.sidecar.opened.size() == 4);
  REQUIRE(pair.sidecar.transport.counters().streams_refused == 6);
  REQUIRE(pair.entry.downs.empty());
}

TEST_CASE("text of a caller that is not UTF-8 harms nobody") {
  // A caller sends a Latin-1 header. Were it a protobuf string, the sidecar
  // could not read the request and would end all others beside it.
  Pair pair;
  pair.entry.transport.Execute(OpenWith(kPeer, 1, "beside"));
  OpenStreamCommand command = OpenWith(kPeer, 2, "latin-1");
  pb::Header* header = command.request.add_headers();
  header->set_name("x-owner");
  header->set_value("Z\xfcrich");
  command.request.set_path("/k\xe4tzchen");
  pair.entry.transport.Execute(std::move(command));
  RunUntil(pair.io, [&] { return pair.sidecar.opened.size() == 2; });
  REQUIRE(pair.sidecar.opened[1].request.headers(0).value() == "Z\xfcrich");
  REQUIRE(pair.entry.closed.empty());
}

TEST_CASE("a message over the receiver's bound ends the connection") {
  // A process with broken settings or memory sends a message of any size. The
  // receiver closes before it keeps the payload.
  TransportSettings small = QuickSettings("sidecar");
  small.max_message_bytes = 1000;
  Pair pair(QuickSettings("entry"), small);
  pair.entry.transport.Execute(OpenWith(kPeer, 1, std::string(200000, 'x')));
  RunUntil(pair.io, [&] { return !pair.sidecar.downs.empty(); });
  REQUIRE(pair.sidecar.downs[0].reason == PeerDownReason::kProtocol);
  RunUntil(pair.io, [&] { return pair.entry.lost(StreamId(1)); });
  REQUIRE(pair.entry.closed.at(StreamId(1)) == StreamLoss::kUnknown);
  REQUIRE(pair.sidecar.opened.empty());
}

TEST_CASE("a message over the sender's own bound is not sent") {
  TransportSettings small = QuickSettings("entry");
  small.max_message_bytes = 1000;
  Pair pair(small);
  pair.entry.transport.Execute(OpenWith(kPeer, 1, std::string(2000, 'x')));
  RunUntil(pair.io, [&] { return pair.entry.lost(StreamId(1)); });
  REQUIRE(pair.entry.closed.at(StreamId(1)) == StreamLoss::kNotSent);
  REQUIRE(pair.entry.transport.counters().messages_too_large == 1);
  REQUIRE(pair.entry.downs.empty());
}

TEST_CASE("a stream over the bound of unsent bytes is reset and counted") {
  // An entry stops reading while engines generate for it. The sidecar's memory
  // must not grow with what the entry does not take.
  TransportSettings bounded = QuickSettings("sidecar");
  bounded.max_queued_bytes = 100000;
  Pair pair(QuickSettings("entry"), bounded);
  pair.entry.transport.Execute(OpenWith(kPeer, 1, "x"));
  RunUntil(pair.io, [&] { return pair.sidecar.opened.size() == 1; });
  const StreamId stream = pair.sidecar.opened[0].stream;
  for (int i = 0; i < 20; ++i) {
    pair.sidecar.transport.Execute(Output(stream, std::string(9000, 'x')));
  }
  RunUntil(pair.io, [&] {
    return pair.entry.lost(StreamId(1)) && pair.sidecar.lost(stream);
  });
  REQUIRE(pair.sidecar.transport.counters().streams_over_queue == 1);
  REQUIRE(pair.entry.downs.empty());
}

TEST_CASE("a sink that refuses holds the other end back and loses nothing") {
  // The decision thread stalls and its ring is full. Events wait, the
  // connection is not read from, and the other end's queue fills instead.
  Pair pair;
  pair.entry.transport.Execute(OpenWith(kPeer, 1, "x"));
  RunUntil(pair.io, [&] { return pair.sidecar.opened.size() == 1; });
  pair.entry.refuse_events = true;
  const StreamId stream = pair.sidecar.opened[0].stream;
  constexpr int kEvents = 1000;
  for (int i = 0; i < kEvents; ++i) {
    pair.sidecar.transport.Execute(Output(stream, std::string(5000, 'x')));
  }
  pair.sidecar.transport.Execute(Finish(stream));
  RunUntil(pair.io,
           [&] { return pair.entry.transport.counters().events_delayed > 20; });
  REQUIRE(pair.entry.outputs.empty());
  pair.entry.refuse_events = false;
  RunUntil(pair.io, [&] { return pair.entry.finished(StreamId(1)); });
  REQUIRE(pair.entry.outputs[StreamId(1)].size() == kEvents + 1);
}

TEST_CASE("a connection is made again after the other end restarts") {
  // A sidecar is restarted in place by an upgrade. The entry goes on trying
  // and uses it as soon as it listens again.
  boost::asio::io_context io;
  FleetNode entry(io, QuickSettings("entry"));
  std::string address;
  {
    FleetNode first(io, QuickSettings("sidecar"));
    address = first.Listen();
    entry.transport.Execute(ConnectCommand{kPeer, address});
    RunUntil(io, [&] { return entry.ups.size() == 1; });
  }
  RunUntil(io, [&] { return entry.downs.size() >= 3; });
  REQUIRE(entry.downs[0].reason == PeerDownReason::kClosed);
  REQUIRE(entry.downs[1].reason == PeerDownReason::kRefused);
  REQUIRE(entry.downs[2].failures == 2);
  TransportSettings again = QuickSettings("sidecar");
  again.hello.set_incarnation(2);
  FleetNode second(io, again);
  REQUIRE(second.transport.Listen(address));
  RunUntil(io, [&] { return entry.ups.size() == 2; });
  REQUIRE(entry.ups[1].hello.incarnation() == 2);
}

}  // namespace knapweedstile::wire
