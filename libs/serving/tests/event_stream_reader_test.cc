#include "serving/event_stream_reader.h"

#include <catch2/catch.hpp>

#include "base/clock.h"
#include "base/rng.h"
#include "serving/route_table.h"

namespace knapweedstile::serving {

TEST_CASE("events are returned complete, with their raw bytes") {
  EventStreamReader reader;
  reader.Append("weight-versions: 3\nid: 7\ndata: a\ndata: b\n\nid: 8\nda");
  const auto first = reader.Next();
  REQUIRE(first);
  CHECK(first->id == 7);
  CHECK(first->data == "a\nb");
  CHECK(first->raw == "weight-versions: 3\nid: 7\ndata: a\ndata: b\n\n");
  CHECK_FALSE(reader.Next());
  CHECK(reader.HasIncompleteEvent());
  reader.Append("ta:c\r\n\r\n");
  const auto second = reader.Next();
  REQUIRE(second);
  CHECK(second->id == 8);
  CHECK(second->data == "c");
  CHECK_FALSE(reader.Next());
  CHECK_FALSE(reader.HasIncompleteEvent());
}

// The network may split a stream at any byte; the events must be the same.
TEST_CASE("events do not depend on how the stream is split") {
  std::string stream;
  for (int i = 1; i <= 30; ++i) {
    stream +=
        "id: " + std::to_string(i) + "\ndata: x" + std::to_string(i) + "\n\n";
  }
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    Rng rng(seed);
    EventStreamReader reader;
    std::string raw;
    uint64_t last = 0;
    for (size_t at = 0; at < stream.size();) {
      const size_t length = 1 + UniformBelow(rng, 40);
      const std::string_view text = stream;
      reader.Append(text.substr(at, length));
      at += length;
      while (auto event = reader.Next()) {
        CHECK(*event->id == last + 1);
        last = *event->id;
        raw += event->raw;
      }
    }
    CHECK(raw == stream);
  }
}

// Guards against bytes that are no events, which would be passed to a caller or
// kept without end.
TEST_CASE("a stream is malformed once its bytes are not those of events") {
  const std::string event = "id: 1\ndata: a\n\n";
  for (const std::string& bytes :
       {std::string("<html>\n\n"), std::string("no field\n"),
        std::string("noField\n"), std::string("{\"a\":1}\n"),
        std::string("HTTP/1.1 200 OK\r\n"), std::string("\x01\x80\xff"),
        std::string("id: 2\nwords\n\n"), std::string("x-other: 1\n\n"),
        std::string(100, 'a')}) {
    for (const std::string& start : {std::string(), event}) {
      CAPTURE(bytes, start);
      EventStreamReader reader;
      reader.Append(start + bytes);
      CHECK(reader.Next().has_value() == !start.empty());
      if (!start.empty()) CHECK_FALSE(reader.Next());
      CHECK(reader.IsMalformed());
      reader.Append(event);
      CHECK_FALSE(reader.Next());
      reader.Reset();
      reader.Append(event);
      CHECK(reader.Next());
      CHECK_FALSE(reader.IsMalformed());
    }
  }
}

// Guards against limits that end proper streams.
TEST_CASE("streams with unusual or large events are not malformed") {
  const std::string large(500 << 10, 'x');
  const std::vector<std::string> events = {
      ": comment\n\n",
      "weight-versions: 3\nid: 7\ndata: a\n\n",
      "event: end\nretry: 10\ndata\n\n",
      "\n",
      "\r\n",
      "data: [DONE]\r\n\r\n",
      "id: 8\ndata: " + large + "\n\n",
      "other: b\r\ndata: c\nid\n\n"};
  std::string stream;
  for (const std::string& event : events) stream += event;
  for (const size_t length : {size_t{1}, size_t{1000}, stream.size()}) {
    CAPTURE(length);
    EventStreamReader reader;
    std::string raw;
    for (size_t at = 0; at < stream.size(); at += length) {
      reader.Append(stream.substr(at, length));
      while (auto event = reader.Next()) raw += event->raw;
    }
    raw += reader.Rest();
    CHECK(raw == stream);
    CHECK_FALSE(reader.IsMalformed());
    CHECK_FALSE(reader.HasIncompleteEvent());
  }
}

// Guards against an event, or bytes between events, without end.
TEST_CASE("a stream without progress is malformed at the limit") {
  constexpr size_t kPieceBytes = 100;
  struct Case {
    std::string start;
    std::string piece;
  };
  for (const auto& [start, piece] :
       {Case{"id: 1\ndata: ", std::string(kPieceBytes, 'a')},
        Case{"id: 1\n", "data: a\n"}, Case{"", ": comment\n\n"}, Case{"", "\n"},
        Case{"", "event: end\n\n"},
        Case{"id: 1\ndata: a\n\n", "data: a\n\n"}}) {
    CAPTURE(start, piece);
    EventStreamReader reader;
    reader.Append(start);
    size_t bytes = 0;
    size_t returned = 0;
    while (!reader.IsMalformed() && bytes < 4 << 20) {
      reader.Append(piece);
      bytes += piece.size();
      while (auto event = reader.Next()) returned += event->raw.size();
    }
    CHECK(reader.IsMalformed());
    CHECK(bytes <= EventStreamReader::kMaxEventBytes + 2 * kPieceBytes);
    CHECK(returned <= EventStreamReader::kMaxEventBytes + 2 * kPieceBytes);
  }
}

// Guards against processor time that grows with the square of an event's size.
TEST_CASE("an event that arrives byte by byte is read in one pass") {
  EventStreamReader reader;
  reader.Append("id: 1\ndata:");
  constexpr size_t kBytes = 400 << 10;
  constexpr size_t kLineBytes = 64;
  const TimePoint start = MonotonicNow();
  size_t returned = 0;
  for (size_t i = 1; i <= kBytes; ++i) {
    reader.Append(i % kLineBytes == 0 ? "\ndata:" : "a");
    returned += reader.Next().has_value();
  }
  CHECK(returned == 0);
  // The square of the size takes minutes.
  CHECK(MonotonicNow() - start < std::chrono::seconds(20));
}

TEST_CASE("streams of events without a number are not limited in length") {
  EventStreamReader reader;
  size_t count = 0;
  const std::string event = "data: {\"choices\":[]}\n\n";
  while (count * event.size() < 4 << 20) {
    reader.Append(event);
    REQUIRE(reader.Next());
    ++count;
  }
  CHECK_FALSE(reader.IsMalformed());
}

TEST_CASE("the longest matching prefix of the host's routes wins") {
  RouteTable table;
  table.routes.push_back({.name = "a", .host = "h", .path_prefix = "/x/"});
  table.routes.push_back({.name = "b", .host = "h", .path_prefix = "/x/y/"});
  table.routes.push_back({.name = "c", .host = "other", .path_prefix = "/x/"});
  CHECK(table.Find("h", "/x/1?q=/x/y/")->name == "a");
  CHECK(table.Find("h:80", "/x/y/1")->name == "b");
  CHECK(table.Find("h", "/x") == nullptr);
  CHECK(table.Find("unknown", "/x/1") == nullptr);
}

}  // namespace knapweedstile::serving
