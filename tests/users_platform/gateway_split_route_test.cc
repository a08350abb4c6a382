#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;

// One gateway and a batch route that is split over two services of one server
// each, which is larger than any job.
struct SplitRoute {
  Site site;
  ModelServer& app;
  ModelServer& llm;
  int version = 1;

  SplitRoute()
      : app(site.AddServer("app", "i-app", 100)),
        llm(site.AddServer("llm", "i-llm", 100)) {}
  void Split(int app_weight, int llm_weight) {
    site.Configure(
        ++version,
        {{"service", ""},
         {"backends",
          json::array{
              json::object{{"service", "app"}, {"weight", app_weight}},
              json::object{{"service", "llm"}, {"weight", llm_weight}}}}});
  }
  void Accept(const std::string& job, int items) {
    REQUIRE(site.Call(site.JobRequest("entry-1", job, items)).status == 202);
  }
  size_t Completed(const std::string& job, size_t items) {
    const auto page = site.WaitForResults("entry-1", job, items);
    const auto& results = page.at("results").as_array();
    return std::count_if(
        results.begin(), results.end(),
        [](const auto& result) { return result.at("state") == "completed"; });
  }
};

}  // namespace

// Guards against items that wait for the service that their route names first
// although it has no server.
TEST_CASE("items run where the first service of their route has no server") {
  SplitRoute fleet;
  fleet.site.RemoveServer(fleet.app);
  fleet.Split(10, 90);
  fleet.site.AddGateway("entry-1");
  fleet.Accept("job-a", 6);
  CHECK(fleet.Completed("job-a", 6) == 6);
}

// Guards against items that ignore the weights of their route's services.
TEST_CASE("items are divided among the services of their route by weight") {
  SplitRoute fleet;
  fleet.Split(50, 50);
  fleet.site.AddGateway("entry-1");
  fleet.Accept("job-a", 60);
  CHECK(fleet.Completed("job-a", 60) == 60);
  // One in a million divisions by an even coin is outside of these bounds.
  CHECK(fleet.app.runs().size() >= 11);
  CHECK(fleet.llm.runs().size() >= 11);
  fleet.Split(0, 100);
  CHECK(fleet.site.caller().RunUntil([&] {
    return fleet.site.Metrics("entry-1").find("knap_configuration_version 3") !=
           std::string::npos;
  }));
  const size_t before = fleet.app.runs().size();
  fleet.Accept("job-b", 20);
  CHECK(fleet.Completed("job-b", 20) == 20);
  CHECK(fleet.app.runs().size() == before);
}

// Guards against an output that joins the events of two services that use the
// same name for their software version.
TEST_CASE("an item whose service has left begins again at another service") {
  SplitRoute fleet;
  for (ModelServer* server : {&fleet.app, &fleet.llm}) {
    server->events = 40;
    server->event_interval = std::chrono::milliseconds(50);
  }
  fleet.Split(100, 0);
  fleet.site.AddGateway("entry-1");
  fleet.Accept("job-a", 4);
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return fleet.app.runs().size() >= 4; }));
  fleet.site.caller().RunFor(std::chrono::milliseconds(500));
  fleet.Split(50, 50);
  fleet.app.Restart("i-app+");
  fleet.site.RemoveServer(fleet.app);
  fleet.site.store().Remove("servers", "i-app");
  CHECK(fleet.Completed("job-a", 4) == 4);
  REQUIRE(fleet.llm.runs().size() >= 4);
  for (const auto& run : fleet.llm.runs()) CHECK(run.first_event == 1);
}

}  // namespace knapweedstile::users_site
