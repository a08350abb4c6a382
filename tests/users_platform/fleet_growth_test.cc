#include <catch2/catch.hpp>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr char kMembers[] = "knapweedstile-members";
constexpr char kLayout[] = "layout";
constexpr char kUndividedKind[] = "knapweedstile";
constexpr int kItems = 2;
// Longer than a gateway waits before it proposes a layout.
constexpr milliseconds kLayoutDelay{4500};

// A fleet that is divided if it starts with more than four gateways.
struct GrowingFleet {
  Site site;
  ModelServer& server = site.AddServer("llm", "i-1", 8);
  std::vector<std::string> gateways;
  std::vector<std::string> jobs;

  GrowingFleet() {
    site.further_settings = "[fleet]\nmax_undivided = 4\n";
    site.zone_of = [](const std::string& name) {
      return "zone-" + name.substr(0, 1);
    };
    site.Configure(2);
  }
  void Start(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      site.StartGateway(name);
      gateways.push_back(name);
    }
    AwaitReady(names);
  }
  void AwaitReady(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      REQUIRE(site.caller().RunUntil([&] { return site.Ready(name); }));
    }
  }
  void Kill(const std::string& name) {
    site.process(name).Kill();
    std::erase(gateways, name);
  }
  unsigned Submit(const std::string& gateway, const std::string& job) {
    const unsigned status =
        site.Call(site.JobRequest(gateway, job, kItems)).status;
    if (status == 202) jobs.push_back(job);
    return status;
  }
  void SubmitUntilAccepted(const std::string& gateway, const std::string& job) {
    REQUIRE(
        site.caller().RunUntil([&] { return Submit(gateway, job) == 202; }));
  }
  // Null if there is none.
  json::value Layout() { return site.store().Spec(kMembers, kLayout); }
  // Every gateway gives all results of every job, and no gateway ever answers
  // that a job does not exist.
  void CheckAllReadable() {
    for (const std::string& job : jobs) {
      std::optional<json::object> first;
      for (const std::string& gateway : gateways) {
        CAPTURE(job, gateway);
        unsigned status = 0;
        json::object page;
        CHECK(site.caller().RunUntil([&] {
          const auto end = site.Results(gateway, job);
          status = end.status;
          if (status == 200) page = json::parse(end.body).as_object();
          return status == 404 || status == 410 ||
                 (status == 200 &&
                  page.at("results").as_array().size() == kItems);
        }));
        CHECK(status == 200);
        if (!first) first = page;
        CHECK(page == *first);
      }
    }
  }
};

}  // namespace

// Guards against jobs that are lost when a running fleet grows beyond the size
// of an undivided one.
TEST_CASE("a running fleet that grows keeps its jobs") {
  GrowingFleet fleet;
  fleet.Start({"a-1", "a-2", "b-1", "b-2"});
  CHECK(fleet.Submit("a-1", "job-1") == 202);
  CHECK(fleet.Submit("b-2", "job-2") == 202);
  fleet.CheckAllReadable();
  CHECK(fleet.Layout() == json::value{{"shards", 1}});

  fleet.Start({"a-3", "b-3", "c-1"});
  fleet.site.caller().RunFor(kLayoutDelay);
  fleet.CheckAllReadable();
  CHECK(fleet.Submit("c-1", "job-3") == 202);
  fleet.CheckAllReadable();

  // A gateway that starts again finds more gateways than at its first start.
  fleet.site.process("a-1").Kill();
  fleet.site.RestartGateway("a-1");
  fleet.AwaitReady({"a-1"});
  fleet.site.caller().RunFor(kLayoutDelay);
  fleet.CheckAllReadable();

  for (const char* gateway : {"a-2", "a-3", "b-1", "b-3"}) {
    fleet.Kill(gateway);
  }
  fleet.CheckAllReadable();
  CHECK(fleet.site.EndJob("c-1", "job-1").status == 200);
  CHECK(fleet.site.Results("c-1", "no-job").status == 404);
  CHECK(fleet.server.runs().size() == fleet.jobs.size() * kItems);
}

TEST_CASE("jobs that are submitted while a large fleet starts are found") {
  GrowingFleet fleet;
  const std::vector<std::string> names = {"a-1", "a-2", "b-1",
                                          "b-2", "c-1", "c-2"};
  for (const std::string& name : names) fleet.site.StartGateway(name);
  fleet.gateways = names;
  for (const std::string& name : names) {
    fleet.SubmitUntilAccepted(name, "job-of-" + name);
  }
  fleet.AwaitReady(names);
  fleet.CheckAllReadable();
  fleet.site.caller().RunFor(kLayoutDelay);
  fleet.CheckAllReadable();
}

TEST_CASE("a large fleet without jobs is divided") {
  GrowingFleet fleet;
  fleet.Start({"a-1", "a-2", "b-1", "b-2"});
  CHECK(fleet.site.Results("a-1", "no-job").status == 404);
  fleet.Start({"c-1", "c-2"});
  REQUIRE(
      fleet.site.caller().RunUntil([&] { return !fleet.Layout().is_null(); }));
  CHECK(fleet.Layout().at("shards") == 2);
  CHECK(fleet.Layout().at("cells").as_array().size() == 3);
  for (const std::string& gateway : fleet.gateways) {
    fleet.SubmitUntilAccepted(gateway, "job-of-" + gateway);
  }
  fleet.CheckAllReadable();
  CHECK(fleet.site.store().Count(kUndividedKind, "") == 0);
}

TEST_CASE("a lost answer to the layout's write rejects no job") {
  GrowingFleet fleet;
  fleet.Start({"a-1", "a-2"});
  fleet.site.store().LoseAnswers(1);
  CHECK(fleet.Submit("a-1", "job-1") == 202);
  CHECK(fleet.Submit("a-2", "job-2") == 202);
  fleet.CheckAllReadable();
}

// Guards against a job that is accepted by a layout which is not the one that a
// late write of another gateway creates.
TEST_CASE("no job is accepted while the layout's write is outstanding") {
  GrowingFleet fleet;
  fleet.Start({"a-1", "a-2"});
  fleet.site.store().DelayWrites(1, milliseconds(1500));
  CHECK(fleet.Submit("a-1", "job-1") == 503);
  CHECK(fleet.site.store().Count(kUndividedKind, "") == 0);
  fleet.SubmitUntilAccepted("a-2", "job-1");
  fleet.site.caller().RunFor(milliseconds(2000));
  fleet.SubmitUntilAccepted("a-1", "job-2");
  fleet.CheckAllReadable();
}

// Guards against a fleet that is divided although an older version, which
// writes no layout, has accepted jobs.
TEST_CASE("a large fleet with jobs but no layout stays undivided") {
  GrowingFleet fleet;
  fleet.Start({"a-1", "a-2", "b-1", "b-2"});
  CHECK(fleet.Submit("a-1", "job-1") == 202);
  fleet.CheckAllReadable();
  for (const std::string& gateway : fleet.gateways) {
    fleet.site.process(gateway).Kill();
  }
  fleet.site.store().Remove(kMembers, kLayout);
  for (const std::string& gateway : fleet.gateways) {
    fleet.site.RestartGateway(gateway);
  }
  fleet.Start({"c-1", "c-2"});
  REQUIRE(
      fleet.site.caller().RunUntil([&] { return !fleet.Layout().is_null(); }));
  CHECK(fleet.Layout() == json::value{{"shards", 1}});
  fleet.CheckAllReadable();
}

}  // namespace knapweedstile::users_site
