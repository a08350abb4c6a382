#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "base/clock.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEvents = 5;
constexpr char kJob[] = "job-a";
constexpr char kRecords[] = "knapweedstile";
constexpr char kParts[] = "knapweedstile-parts";

// Two gateways and a server that answers the job's first item, or all of its
// items, with a given text per event.
struct LargeResults {
  Site site;
  ModelServer& server;
  std::string text;
  bool for_all_items = false;
  std::string large_item = std::string(kJob) + "-0";

  explicit LargeResults(std::string event_text)
      : server(site.AddServer("llm", "i-1", 8)), text(std::move(event_text)) {
    server.events = kEvents;
    server.event_data = [this](const std::string& target, uint64_t number) {
      return for_all_items || target.ends_with(large_item)
                 ? std::to_string(number) + text
                 : "word " + std::to_string(number);
    };
    site.Configure(2);
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }
  std::string LargeOutput() const {
    std::string output;
    for (int i = 1; i <= kEvents; ++i) {
      if (i > 1) output += '\n';
      output += std::to_string(i) + text;
    }
    return output;
  }
  void Accept(int items) {
    REQUIRE(site.Call(site.JobRequest("entry-1", kJob, items)).status == 202);
  }
  // Reads all pages until `count` results are listed or the time is over;
  // outputs of completed items, by item.
  std::map<std::string, std::string> Listed(const std::string& gateway,
                                            size_t count,
                                            seconds time = seconds(15)) {
    const TimePoint deadline = MonotonicNow() + time;
    std::map<std::string, std::string> outputs;
    size_t after = 0;
    while (after < count && MonotonicNow() < deadline) {
      const auto page = site.Results(gateway, kJob, static_cast<int>(after));
      if (page.status == 200) {
        const json::value body = json::parse(page.body);
        for (const json::value& result : body.at("results").as_array()) {
          CHECK(result.at("state") == "completed");
          const std::string item(result.at("id").as_string());
          outputs[item] = result.at("output").as_string();
          ++after;
        }
      }
      site.caller().RunFor(milliseconds(50));
    }
    return outputs;
  }
  bool HasLarge(const std::map<std::string, std::string>& outputs) const {
    const auto found = outputs.find(large_item);
    return found != outputs.end() && found->second == LargeOutput();
  }
};

}  // namespace

// Guards against a finished item that is never listed because its output
// exceeds the largest value of the store.
TEST_CASE("a result larger than a value of the store is listed everywhere") {
  LargeResults fleet(std::string(300000, 'x'));
  fleet.Accept(6);
  for (const std::string gateway : {"entry-1", "entry-2"}) {
    const auto outputs = fleet.Listed(gateway, 6);
    CHECK(outputs.size() == 6);
    CHECK(fleet.HasLarge(outputs));
  }
  CHECK(fleet.site.store().oversized_writes() == 0);
}

// Guards against an output within the limit whose escapes exceed it.
TEST_CASE("a result that only its escapes make too large is listed") {
  LargeResults fleet(std::string(60000, '\x01'));
  fleet.Accept(2);
  CHECK(fleet.HasLarge(fleet.Listed("entry-2", 2)));
  CHECK(fleet.site.store().oversized_writes() == 0);
}

// Guards against pages that are measured without their escapes.
TEST_CASE("a page of several results has at most one megabyte") {
  constexpr size_t kMaxPage = 1 << 20;
  constexpr size_t kItems = 4;
  LargeResults fleet(std::string(70000, '"'));
  fleet.for_all_items = true;
  fleet.Accept(kItems);
  REQUIRE(fleet.Listed("entry-1", kItems).size() == kItems);
  size_t after = 0;
  while (after < kItems) {
    const auto page =
        fleet.site.Results("entry-1", kJob, static_cast<int>(after));
    REQUIRE(page.status == 200);
    CHECK(page.body.size() <= kMaxPage);
    const json::value body = json::parse(page.body);
    REQUIRE_FALSE(body.at("results").as_array().empty());
    after += body.at("results").as_array().size();
    CHECK(body.at("next_token") == after);
  }
  CHECK(after == kItems);
}

// Guards against results that wait behind one that the store takes long to
// write, or refuses.
TEST_CASE("a large result does not delay the other results of its job") {
  LargeResults fleet(std::string(300000, 'x'));
  fleet.site.store().max_value_bytes = 4000;
  fleet.Accept(6);
  CHECK(fleet.Listed("entry-2", 5, seconds(5)).size() >= 5);
}

// Guards against a large result that only the memory of the gateways holds.
TEST_CASE("a large result is listed after a restart of all gateways") {
  LargeResults fleet(std::string(300000, 'x'));
  fleet.Accept(3);
  REQUIRE(fleet.HasLarge(fleet.Listed("entry-1", 3)));
  for (const std::string gateway : {"entry-1", "entry-2"}) {
    fleet.site.process(gateway).Kill();
  }
  for (const std::string gateway : {"entry-1", "entry-2"}) {
    fleet.site.RestartGateway(gateway);
  }
  for (const std::string gateway : {"entry-1", "entry-2"}) {
    CHECK(fleet.HasLarge(fleet.Listed(gateway, 3)));
  }
}

// Guards against a write that the store refuses for good and that is sent again
// four times a second.
TEST_CASE("a result that the store refuses is written in smaller parts") {
  LargeResults fleet(std::string(300000, 'x'));
  fleet.site.store().max_value_bytes = 400000;
  fleet.Accept(2);
  CHECK(fleet.HasLarge(fleet.Listed("entry-2", 2)));
  // Each refusal at least halves the parts.
  CHECK(fleet.site.store().oversized_writes() <= 5);
  const std::string metrics =
      fleet.site.Metrics("entry-1") + fleet.site.Metrics("entry-2");
  CHECK(metrics.find("knap_result_writes_rejected_total{") !=
        std::string::npos);
}

// Guards against a page that shows an empty or wrong output while a part of it
// cannot be read.
TEST_CASE("a large result without one of its parts is answered with 503") {
  LargeResults fleet(std::string(300000, 'x'));
  fleet.Accept(1);
  REQUIRE(fleet.HasLarge(fleet.Listed("entry-1", 1)));
  const auto parts = fleet.site.store().Names(kParts);
  REQUIRE(parts.size() >= 2);
  fleet.site.store().Remove(kParts, parts.back());
  for (const std::string gateway : {"entry-1", "entry-2"}) {
    fleet.site.process(gateway).Kill();
    fleet.site.RestartGateway(gateway);
    CHECK(fleet.site.caller().RunUntil(
        [&] { return fleet.site.Ready(gateway); }));
    const auto page = fleet.site.Results(gateway, kJob);
    CHECK(page.status == 503);
  }
}

// Guards against parts that stay in the store after their job.
TEST_CASE("the parts of a large result are deleted with its job") {
  LargeResults fleet(std::string(300000, 'x'));
  fleet.site.retention_s = 2;
  for (const std::string gateway : {"entry-1", "entry-2"}) {
    fleet.site.process(gateway).Kill();
  }
  fleet.site.AddGateway("entry-3");
  REQUIRE(fleet.site.Call(fleet.site.JobRequest("entry-3", kJob, 2)).status ==
          202);
  REQUIRE(fleet.HasLarge(fleet.Listed("entry-3", 2)));
  CHECK(fleet.site.store().Names(kParts).size() >= 2);
  const TimePoint deadline = MonotonicNow() + seconds(30);
  const auto kept = [&] {
    return fleet.site.store().Names(kParts).size() +
           fleet.site.store().Names(kRecords).size();
  };
  while (kept() > 0 && MonotonicNow() < deadline) {
    fleet.site.caller().RunFor(milliseconds(200));
  }
  CHECK(kept() == 0);
}

}  // namespace knapweedstile::users_site
