#include <catch2/catch.hpp>

#include "observe/metrics.h"
#include "observe/timeline.h"

namespace knapweedstile::observe {

TEST_CASE("metrics render counters, gauges and histograms") {
  Metrics metrics;
  metrics.DeclareCounter("requests_total", "Requests.", {"class"});
  metrics.DeclareGauge("queue", "Waiting.");
  metrics.DeclareHistogram("ttft_seconds", "Time to first token.", {"policy"});
  metrics.Add("requests_total", {"online"}, 2);
  metrics.Set("queue", 1.5);
  metrics.Observe("ttft_seconds", 0.02, {"a\"b"});
  metrics.Observe("ttft_seconds", 5000, {"a\"b"});
  const std::string text = metrics.Render();
  REQUIRE(text.find("requests_total{class=\"online\"} 2\n") !=
          std::string::npos);
  REQUIRE(text.find("queue 1.5\n") != std::string::npos);
  REQUIRE(text.find("ttft_seconds_bucket{policy=\"a\\\"b\",le=\"+Inf\"} 2\n") !=
          std::string::npos);
  REQUIRE(text.find("ttft_seconds_bucket{policy=\"a\\\"b\",le=\"600\"} 1\n") !=
          std::string::npos);
}

// Guards against unbounded cardinality: a caller sends a new workspace name
// with every request, and each name would stay in memory and in the monitoring
// system.
TEST_CASE("the number of series per family is bounded") {
  Metrics metrics;
  metrics.DeclareCounter("requests_total", "Requests.", {"workspace"});
  for (int i = 0; i < 1000; ++i) {
    metrics.Add("requests_total", {"w" + std::to_string(i)});
  }
  const std::string text = metrics.Render();
  const auto lines = std::count(text.begin(), text.end(), '\n');
  REQUIRE(lines == static_cast<int64_t>(Metrics::kMaxSeries + 1 + 2));
  REQUIRE(text.find("{workspace=\"other\"} 872\n") != std::string::npos);
}

TEST_CASE("the timeline keeps the latest events and pages by sequence") {
  Timeline timeline(3);
  for (int i = 0; i < 5; ++i) {
    timeline.Record({0, i, 0, "e" + std::to_string(i), "r", {{"k", "v"}}});
  }
  REQUIRE(timeline.last_sequence() == 5);
  REQUIRE(timeline.EventsJson(3, 1) ==
          R"([{"seq":4,"t":3,"name":"e3","request":"r","args":{"k":"v"}}])");
  REQUIRE(timeline.EventsJson(0, 10).find("\"seq\":3") != std::string::npos);
  REQUIRE(timeline.EventsJson(0, 10).find("\"seq\":2") == std::string::npos);
}

// Guards against names from callers that are kept at full length.
TEST_CASE("long texts of events are truncated") {
  Timeline timeline(10);
  timeline.Record({.request = std::string(10'000, 'a'),
                   .args = {{"server", std::string(10'000, 'b')}}});
  const std::string json = timeline.EventsJson(0, 10);
  CHECK(json.find(std::string(100, 'a')) != std::string::npos);
  CHECK(json.size() < 1'000);
}

}  // namespace knapweedstile::observe
