#include "serving/event_stream_reader.h"

#include <catch2/catch.hpp>

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
