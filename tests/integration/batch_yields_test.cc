// A manifest job fills every slot of the only engine when a broker asks. The
// engine knows no priorities: a request that reaches it while all slots are
// taken waits behind batch work for as long as that takes. The sidecar has to
// make room first, and the work that gave way is resumed, not lost.

#include <algorithm>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <vector>

#include "harness/batch_job.h"
#include "harness/completion.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

constexpr int kSlots = 2;
constexpr int kItemWords = 300;
constexpr int kItems = 8;
// Some of an item's tokens; too short a time costs another round only.
constexpr std::chrono::milliseconds kSomeTokens{100};
constexpr char kBroker[] = "broker";

struct Reading {
  int most_running = 0;  // when an online request reached the engine
  int online_starts = 0;
  bool resumed = false;  // a later start that went on from earlier tokens
};

Reading Read(const std::string& run_log) {
  Reading reading;
  int running = 0;
  std::istringstream lines(run_log);
  for (std::string line; std::getline(lines, line);) {
    const boost::json::value entry = boost::json::parse(line);
    const bool start = entry.at("event") == "start";
    if (start && entry.at("request") == kBroker) {
      ++reading.online_starts;
      reading.most_running = std::max(reading.most_running, running);
    }
    reading.resumed =
        reading.resumed || (start && entry.at("tokens").as_int64() > 0);
    running += start ? 1 : -1;
  }
  return reading;
}

}  // namespace

TEST_CASE("an online request never waits in the engine behind batch work") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {.slots = kSlots});
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  const std::string& entry = fleet.callers("entry-1");
  Ledger ledger;
  BatchJob job(fleet.caller(), ledger, "manifest");
  for (int i = 0; i < kItems; ++i) {
    const std::string name = "item-" + std::to_string(i);
    job.AddItem(name, PromptOf(name, kItemWords), kItemWords);
  }
  REQUIRE(job.Submit(entry));
  REQUIRE(fleet.caller().RunUntil(
      [&] { return fleet.InFlight("engine-1") == kSlots; }));

  // As many brokers at once as there are slots, so that all batch work gives
  // way, also what has made some tokens.
  const auto ask = [&] {
    std::vector<ExchangeId> asked;
    for (int i = 0; i < kSlots; ++i) {
      http::ClientRequest request{
          .address = entry,
          .method = "POST",
          .target = "/v1/completions",
          .body = CompletionBody(kModel, "what is the tariff", 10, false)};
      request.headers.Add("X-Request-Id", kBroker);
      asked.push_back(fleet.caller().Begin(std::move(request)));
    }
    for (const ExchangeId exchange : asked) {
      REQUIRE(fleet.caller().RunUntilEnd(exchange));
      const http::EndEvent& answer = *fleet.caller().answer(exchange).end;
      CHECK(Joined(FromJson(answer.body).text) == "what is the tariff");
    }
    return Read(ReadFile(fleet.run_log("engine-1")));
  };
  // Asked again until a stream that had made some tokens gave way and went on;
  // in between batch work gets the slots back.
  REQUIRE(fleet.caller().RunUntil([&] {
    REQUIRE(fleet.caller().RunUntil(
        [&] { return fleet.InFlight("engine-1") == kSlots; }));
    fleet.caller().RunFor(kSomeTokens);
    return ask().resumed;
  }));

  REQUIRE(job.WaitForState(entry, "completed"));
  REQUIRE(job.ReadResults(entry));
  const Reading reading = Read(ReadFile(fleet.run_log("engine-1")));
  CHECK(reading.online_starts > 0);
  CHECK(reading.most_running < kSlots);
  CHECK(ledger.Faults() == kNone);
}

}  // namespace knapweedstile::harness
