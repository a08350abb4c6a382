#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/hash.h"
#include "base/rng.h"
#include "http2_session.h"
#include "message_frame.h"
#include "message_reader.h"

namespace knapweedstile::wire {
namespace {

// Checks what a session may tell: streams are opened once and closed once.
class StrictListener : public SessionListener {
 public:
  StreamId NewStreamId() override { return StreamId(++last_id_); }
  bool OnControl(pb::Control&&) override {
    ++controls;
    return true;
  }
  bool OnStreamOpened(StreamId stream, pb::RunRequest&&) override {
    ++requests;
    return open.insert(stream).second;
  }
  void OnStreamEvent(StreamId stream, pb::RunEvent&&, bool last) override {
    if (!open.contains(stream)) misuse = true;
    if (last) open.erase(stream);
  }
  void OnStreamClosed(StreamId stream, StreamLoss) override {
    if (open.erase(stream) == 0) misuse = true;
  }

  std::unordered_set<StreamId> open;
  size_t controls = 0;
  size_t requests = 0;
  bool misuse = false;

 private:
  uint64_t last_id_ = 1000;
};

TransportSettings FuzzSettings() {
  TransportSettings settings;
  settings.max_message_bytes = 100000;
  settings.max_streams = 16;
  return settings;
}

struct End {
  explicit End(SessionSide side)
      : session(side, settings, listener, counters) {}

  std::string Output() {
    std::string bytes;
    session.TakeOutput(bytes, 1 << 20);
    return bytes;
  }

  TransportSettings settings = FuzzSettings();
  TransportCounters counters;
  StrictListener listener;
  Http2Session session;
};

// Bytes that an opening end sends: Hello and some requests.
std::string OpeningBytes() {
  End end(SessionSide::kOpening);
  pb::Control control;
  control.mutable_hello()->set_node("entry");
  end.session.SendControl(control);
  for (uint64_t i = 1; i <= 4; ++i) {
    pb::RunRequest request;
    request.set_request_id(std::to_string(i));
    request.set_body(std::string(100 * i, 'b'));
    end.listener.open.insert(StreamId(i));
    end.session.OpenStream(StreamId(i), request);
  }
  return end.Output();
}

// Breaks `bytes` in a few places: a changed byte, a hole, a repeated part.
std::string Damage(std::string bytes, Rng& rng) {
  const uint64_t places = 1 + UniformBelow(rng, 4);
  for (uint64_t i = 0; i < places && bytes.size() > 2; ++i) {
    const size_t at = UniformBelow(rng, bytes.size() - 1);
    const size_t length = 1 + UniformBelow(rng, 20);
    switch (UniformBelow(rng, 3)) {
      case 0:
        bytes[at] = static_cast<char>(rng());
        break;
      case 1:
        bytes.erase(at, length);
        break;
      default:
        bytes.insert(at, bytes.substr(at, length));
    }
  }
  return bytes;
}

}  // namespace

TEST_CASE("messages come out whole however their bytes are cut") {
  REQUIRE(rc::check([](const std::vector<std::string>& nodes) {
    std::string bytes;
    for (const std::string& node : nodes) {
      pb::Hello hello;
      hello.set_node(HexOf(Hash64(node)) + std::string(node.size() % 7, 'x'));
      bytes += EncodeMessage(hello);
    }
    MessageReader reader(1000);
    size_t seen = 0;
    while (!bytes.empty()) {
      const size_t part =
          *rc::gen::inRange<size_t>(1, std::min<size_t>(bytes.size(), 40) + 1);
      reader.Append(bytes.substr(0, part));
      bytes.erase(0, part);
      std::string_view payload;
      while (reader.Next(payload) == ReadStatus::kMessage) {
        pb::Hello hello;
        RC_ASSERT(hello.ParseFromString(std::string(payload)));
        RC_ASSERT(hello.node().starts_with(HexOf(Hash64(nodes[seen]))));
        ++seen;
      }
    }
    RC_ASSERT(seen == nodes.size());
    RC_ASSERT(reader.empty());
  }));
}

TEST_CASE("any bytes give messages within the bound or an end") {
  // A peer with broken memory sends anything. The reader must neither read
  // past its buffer nor wait for a message that is over the bound.
  REQUIRE(rc::check([](const std::string& bytes) {
    constexpr size_t kBound = 64;
    MessageReader reader(kBound);
    reader.Append(bytes);
    std::string_view payload;
    ReadStatus status = reader.Next(payload);
    size_t taken = 0;
    while (status == ReadStatus::kMessage) {
      RC_ASSERT(payload.size() <= kBound);
      taken += kLengthBytes + payload.size();
      status = reader.Next(payload);
    }
    RC_ASSERT(taken <= bytes.size());
    const size_t rest = bytes.size() - taken;
    if (status == ReadStatus::kNeedMore) {
      RC_ASSERT(rest < kLengthBytes + kBound);
    } else {
      RC_ASSERT(DecodeLength(std::string_view(bytes).substr(taken)) > kBound);
    }
  }));
}

TEST_CASE("an undamaged conversation is understood") {
  End end(SessionSide::kAccepting);
  REQUIRE(end.session.Receive(OpeningBytes()));
  REQUIRE(end.listener.controls == 1);
  REQUIRE(end.listener.requests == 4);
}

TEST_CASE("a peer that starts many messages and ends none is cut off") {
  // Each message is under its bound and never completed. Without a bound for
  // all of them the memory of the accepting end grows with the streams.
  End opener(SessionSide::kOpening);
  End accepter(SessionSide::kAccepting);
  opener.settings.max_queued_bytes = 100 << 20;
  accepter.settings.max_queued_bytes = 100000;
  accepter.settings.max_streams = 1000;
  // The opener's window: less than one message passes before an answer.
  accepter.settings.max_message_bytes = 4 << 20;
  opener.settings.max_message_bytes = 4 << 20;
  pb::RunRequest request;
  request.set_body(std::string(3 << 20, 'x'));
  for (uint64_t i = 1; i <= 8; ++i) {
    opener.listener.open.insert(StreamId(i));
    REQUIRE(opener.session.OpenStream(StreamId(i), request));
  }
  accepter.session.Receive(opener.Output());
  opener.session.Receive(accepter.Output());
  REQUIRE_FALSE(accepter.session.Receive(opener.Output()));
  REQUIRE(accepter.listener.requests == 0);
}

TEST_CASE("a connection whose stream numbers are used up says so when idle") {
  // After 2^30 requests nghttp2 gives no more numbers. The connection must be
  // replaced then, or its peer would look reachable and refuse for ever.
  End end(SessionSide::kOpening);
  end.session.SkipStreamNumbers(0x7fffffff);
  REQUIRE(end.session.OpenStream(StreamId(1), pb::RunRequest()));
  REQUIRE_FALSE(end.session.OpenStream(StreamId(2), pb::RunRequest()));
  REQUIRE_FALSE(end.session.worn_out());
  end.session.CancelStream(StreamId(1));
  REQUIRE(end.session.worn_out());
}

TEST_CASE("damaged conversations never crash a session or confuse its owner") {
  // A middle box corrupts bytes, or a process sends frames in a wrong order.
  // The session may end; it must not crash, report a stream twice, or close
  // one that was never opened.
  Rng rng(20261202);
  const std::string sound = OpeningBytes();
  size_t ended = 0;
  constexpr int kRuns = 4000;
  for (int run = 0; run < kRuns; ++run) {
    const std::string bytes = Damage(sound, rng);
    End end(SessionSide::kAccepting);
    bool alive = true;
    for (size_t at = 0; at < bytes.size() && alive;) {
      const size_t part = 1 + UniformBelow(rng, 300);
      alive = end.session.Receive(bytes.substr(at, part));
      at += part;
      end.Output();
    }
    end.session.Abandon();
    if (!alive) ++ended;
    REQUIRE_FALSE(end.listener.misuse);
    REQUIRE(end.listener.open.empty());
  }
  // The damage is real: most of the conversations do not survive it.
  REQUIRE(ended > kRuns / 2);
}

TEST_CASE("damaged answers never crash the opening end") {
  // The same towards an entry: the answers of a sidecar arrive damaged.
  Rng rng(20261203);
  constexpr int kRuns = 2000;
  for (int run = 0; run < kRuns; ++run) {
    End opener(SessionSide::kOpening);
    End accepter(SessionSide::kAccepting);
    for (uint64_t i = 1; i <= 3; ++i) {
      opener.listener.open.insert(StreamId(i));
      REQUIRE(opener.session.OpenStream(StreamId(i), pb::RunRequest()));
    }
    REQUIRE(accepter.session.Receive(opener.Output()));
    const std::unordered_set<StreamId> accepted = accepter.listener.open;
    REQUIRE(accepted.size() == 3);
    for (const StreamId stream : accepted) {
      pb::RunEvent event;
      event.mutable_output()->set_data(std::string(200, 'o'));
      accepter.session.SendEvent(stream, event, false);
      event.mutable_finished()->set_status(200);
      accepter.session.SendEvent(stream, event, true);
    }
    opener.session.Receive(Damage(accepter.Output(), rng));
    opener.Output();
    opener.session.Abandon();
    REQUIRE_FALSE(opener.listener.misuse);
    REQUIRE(opener.listener.open.empty());
  }
}

}  // namespace knapweedstile::wire
