#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "load/arrival_plan.h"
#include "load/load_mix.h"
#include "load/load_summary.h"
#include "response_reader.h"

namespace knapweedstile::load {

LoadMix SmallMix() {
  LoadMix mix;
  mix.requests_per_second = 200;
  mix.model = "m";
  mix.service_share = 0.1;
  mix.service_path = "/s";
  return mix;
}

TEST_CASE("equal seeds give equal arrivals at the configured rate") {
  const auto a = PlanArrivals(SmallMix());
  const auto b = PlanArrivals(SmallMix());
  REQUIRE(a.size() == b.size());
  REQUIRE(a.size() > 1800);
  REQUIRE(a.size() < 2200);
  std::set<std::string> prompts;
  for (size_t i = 0; i < a.size(); ++i) {
    REQUIRE(a[i].at == b[i].at);
    REQUIRE(a[i].prompt == b[i].prompt);
    prompts.insert(a[i].prompt);
  }
  REQUIRE(prompts.size() == a.size());
}

TEST_CASE("workspaces are drawn by Zipf rank") {
  std::map<std::string, int> workspaces;
  for (const Arrival& arrival : PlanArrivals(SmallMix())) {
    ++workspaces[arrival.workspace];
  }
  REQUIRE(workspaces["workspace-0"] > workspaces["workspace-1"]);
  REQUIRE(workspaces["workspace-1"] > workspaces["workspace-3"]);
}

TEST_CASE("the expected response is the first words of the prompt") {
  Arrival arrival;
  arrival.prompt = "a b c";
  arrival.max_tokens = 2;
  REQUIRE(ExpectedResponse(arrival) == "a b ");
  arrival.max_tokens = 9;
  REQUIRE(ExpectedResponse(arrival) == "a b c ");
}

TEST_CASE("a stream without [DONE] is incomplete") {
  ResponseReader reader(true);
  reader.Feed("data: {\"choices\":[{\"text\":\"a \"}]}\n\n");
  reader.Finish();
  REQUIRE(reader.text() == "a ");
  REQUIRE_FALSE(reader.complete());
}

TEST_CASE("an error response says whether the request ran") {
  ResponseReader reader(false);
  reader.Feed(R"({"error":{"code":"queue_full","not_run":true}})");
  reader.Finish();
  REQUIRE(reader.error_code() == "queue_full");
  REQUIRE(reader.not_run());
}

TEST_CASE("quantiles are exact order statistics") {
  std::vector<double> seconds;
  for (int i = 100; i >= 1; --i) seconds.push_back(i);
  const Quantiles q = ComputeQuantiles(seconds);
  REQUIRE(q.p50 == 50);
  REQUIRE(q.p95 == 95);
  REQUIRE(q.p99 == 99);
  REQUIRE(q.max == 100);
}

}  // namespace knapweedstile::load
