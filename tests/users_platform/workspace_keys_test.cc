#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;

json::object Workspace(const std::string& name, const json::array& keys,
                       double rate = 0, double burst = 0) {
  return {{"name", name},
          {"api_keys", keys},
          {"priority", 1},
          {"rate_per_s", rate},
          {"burst", burst}};
}

// Gateways in front of one model server and one plain one, and two workspaces.
struct WorkspaceFleet {
  Site site;
  ModelServer& model;
  ModelServer& plain;

  WorkspaceFleet()
      : model(site.AddServer("llm", "i-1")),
        plain(site.AddServer("app", "i-2")) {
    site.workspaces = {Workspace("kennel", {"kennel-key", "kennel-second"}),
                       Workspace("cattery", {"cattery-key"})};
    site.public_routes = {"book"};
    // Large enough for a request with a key that is too long.
    site.max_header_bytes = 12000;
    site.Configure(2);
  }

  http::ClientRequest WithKey(http::ClientRequest request,
                              const std::string& key) const {
    if (!key.empty()) request.headers.Add("Authorization", "Bearer " + key);
    return request;
  }
  http::EndEvent Send(const std::string& gateway, const std::string& key,
                      const std::string& target = "/ping/1") {
    const std::string id = "r" + std::to_string(++request_count_);
    return site.Call(WithKey(site.Online(gateway, "GET", target, id), key));
  }
  unsigned Status(const std::string& gateway, const std::string& key) {
    return Send(gateway, key).status;
  }
  http::EndEvent SendJobRequest(const std::string& gateway,
                                const std::string& method,
                                const std::string& target,
                                const std::string& key) {
    http::ClientRequest request;
    request.address = site.callers(gateway);
    request.method = method;
    request.target = target;
    request.headers.Add("Host", kHost);
    return site.Call(WithKey(std::move(request), key));
  }
  // Whether the log of any of the gateways contains the text.
  bool Logged(const std::vector<std::string>& gateways,
              const std::string& text) {
    for (const std::string& gateway : gateways) {
      if (site.process(gateway).output().find(text) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

 private:
  int request_count_ = 0;
};

// All names and values of a header list in one string.
std::string TextOf(const http::HeaderList& headers) {
  std::string text;
  for (const auto& [name, value] : headers.fields()) {
    text.append(name).append("=").append(value).append("\n");
  }
  return text;
}

}  // namespace

// Guards against a caller that names another workspace beside its own key: a
// server that trusted it would bill the other workspace. Guards also against
// forwarding the key, with which a server could act as the caller.
TEST_CASE("a server gets the workspace of the key and never the key") {
  WorkspaceFleet fleet;
  fleet.site.AddGateway("entry-1");
  for (const std::string key : {"kennel-key", "kennel-second", "cattery-key"}) {
    auto request = fleet.WithKey(
        fleet.site.Online("entry-1", "POST", "/query/1",
                          "to-" + std::to_string(fleet.model.runs().size())),
        key);
    request.headers.Add("Tenant", "somebody-else");
    request.headers.Add("Proxy-Authorization", "Bearer " + key);
    const unsigned request_status = fleet.site.Call(std::move(request)).status;
    CHECK(request_status == 200);
    const auto& headers = fleet.model.runs().back().headers;
    CHECK(headers.Find("Tenant") == (key[0] == 'k' ? "kennel" : "cattery"));
    CHECK(TextOf(headers).find(key) == std::string::npos);
    CHECK(TextOf(headers).find("somebody-else") == std::string::npos);
  }
  // A public route needs no key; a workspace that the caller names is still not
  // forwarded.
  auto public_request = fleet.site.Online("entry-1", "GET", "/book/1", "open");
  public_request.headers.Add("Tenant", "somebody-else");
  public_request.headers.Add("Authorization", "Bearer stolen");
  const unsigned public_status =
      fleet.site.Call(std::move(public_request)).status;
  CHECK(public_status == 200);
  CHECK(TextOf(fleet.plain.runs().back().headers).find("stolen") ==
        std::string::npos);
  CHECK(fleet.plain.runs().back().headers.Find("Tenant").empty());
  CHECK_FALSE(fleet.Logged({"entry-1"}, "kennel-key"));
  CHECK(fleet.site.Metrics("entry-1").find("kennel-key") == std::string::npos);
}

TEST_CASE("a request without a valid key gets 401 and does not run") {
  WorkspaceFleet fleet;
  fleet.site.AddGateway("entry-1");
  for (const std::string& value : std::vector<std::string>{
           "", "Bearer ", "Bearer wrong", "Basic kennel-key", "kennel-key",
           "Bearer kennel-key x", "Bearer k\xc3\xa4nnel",
           "Bearer " + std::string(8192, 'k')}) {
    CAPTURE(value.substr(0, 40));
    auto request = fleet.site.Online("entry-1", "GET", "/ping/1", "r");
    request.headers.Add("Authorization", value);
    const unsigned request_status = fleet.site.Call(std::move(request)).status;
    CHECK(request_status == 401);
  }
  auto doubled = fleet.site.Online("entry-1", "GET", "/ping/1", "r");
  doubled.headers.Add("Authorization", "Bearer kennel-key");
  doubled.headers.Add("Authorization", "Bearer kennel-key");
  const unsigned doubled_status = fleet.site.Call(std::move(doubled)).status;
  CHECK(doubled_status == 401);
  CHECK(fleet.Status("entry-1", "") == 401);
  CHECK(fleet.plain.runs().empty());
  CHECK(fleet.site.Call(fleet.site.Job("entry-1", "job-a", 2)).status == 401);
  CHECK(fleet.SendJobRequest("entry-1", "GET", "/-/lots/job-a?after=0", "")
            .status == 401);
  CHECK(fleet.SendJobRequest("entry-1", "DELETE", "/-/lots/job-a", "wrong")
            .status == 401);
}

// Guards against a revoked key that is still accepted because its caller keeps
// a connection open while a stream runs. The stream completes; the next request
// on the same connection is rejected; another key of the workspace stays valid.
TEST_CASE("a revoked key is rejected") {
  WorkspaceFleet fleet;
  fleet.site.AddGateway("entry-1");
  fleet.model.event_pause = std::chrono::milliseconds(100);
  const auto running = fleet.site.caller().Begin(fleet.WithKey(
      fleet.site.Online("entry-1", "POST", "/query/1", "q1"), "kennel-key"));
  CHECK(fleet.Status("entry-1", "kennel-key") == 200);
  fleet.site.workspaces = {Workspace("kennel", {"kennel-second"}),
                           Workspace("cattery", {"cattery-key"})};
  fleet.site.Configure(3);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 401; }));
  CHECK(fleet.Status("entry-1", "kennel-second") == 200);
  REQUIRE(fleet.site.caller().RunUntilEnd(running));
  CHECK(fleet.site.caller().answer(running).end->outcome ==
        http::ClientOutcome::kComplete);
  // The key is assigned to another workspace; the first workspace has no key
  // left.
  fleet.site.workspaces = {Workspace("kennel", {}),
                           Workspace("cattery", {"kennel-key"})};
  fleet.site.Configure(4);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 200; }));
  CHECK(fleet.plain.runs().back().headers.Find("Tenant") == "cattery");
  CHECK(fleet.Status("entry-1", "kennel-second") == 401);
}

// Guards against using an old configuration at a gateway whose calls the store
// rejects. A key is revoked; the other gateway reads the new configuration and
// forwards it.
TEST_CASE("a gateway that the store rejects receives key changes from others") {
  WorkspaceFleet fleet;
  fleet.site.AddGateway("entry-1");
  fleet.site.use_second_store_address = true;
  fleet.site.AddGateway("entry-2");
  REQUIRE(fleet.site.caller().RunUntil([&] {
    return fleet.Logged({"entry-1"}, "peer_found") &&
           fleet.Logged({"entry-2"}, "peer_found");
  }));
  fleet.site.caller().RunFor(std::chrono::milliseconds(600));
  fleet.site.store().RejectAtSecondAddress(true);
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return fleet.Logged({"entry-2"}, "store_lost"); }));
  fleet.site.workspaces = {Workspace("kennel", {"kennel-second"})};
  fleet.site.Configure(3);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-2", "kennel-key") != 200; }));
  CHECK(fleet.Status("entry-2", "kennel-second") == 200);
}

// Guards against rejecting a new key as invalid at a gateway that has not
// received the version with it, because the store rejects its calls. The
// response would be wrong, and the caller would not retry.
TEST_CASE(
    "an unknown key gets 503 with Retry-After while the store is unavailable") {
  WorkspaceFleet fleet;
  fleet.site.use_second_store_address = true;
  fleet.site.AddGateway("entry-1");
  fleet.site.store().RejectAtSecondAddress(true);
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "new-key") == 503; }));
  fleet.site.workspaces = {Workspace("kennel", {"kennel-key", "new-key"})};
  fleet.site.Configure(3);
  const auto unknown_key = fleet.Send("entry-1", "new-key");
  CHECK(unknown_key.status == 503);
  CHECK_FALSE(unknown_key.headers.Find("Retry-After").empty());
  CHECK(fleet.Send("entry-1", "kennel-key", "/nowhere/1").status == 503);
  CHECK(fleet.Status("entry-1", "kennel-key") == 200);
  fleet.site.store().RejectAtSecondAddress(false);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "new-key") == 200; }));
  CHECK(fleet.Status("entry-1", "wrong") == 401);
}

TEST_CASE("a gateway without a configuration responds with 503, never 401") {
  WorkspaceFleet fleet;
  fleet.site.store().SetHealth(ObjectStore::Health::kBusy);
  fleet.site.StartGateway("entry-1");
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 503; }));
  CHECK(fleet.Status("entry-1", "") == 503);
  CHECK(fleet
            .SendJobRequest("entry-1", "GET", "/-/lots/job-a?after=0",
                            "kennel-key")
            .status == 503);
}

// With this setting, a gateway that has received nothing from the store for a
// second rejects keyed requests instead of trusting keys that may have been
// revoked.
TEST_CASE("trust_for bounds how long keys are trusted without the store") {
  WorkspaceFleet fleet;
  fleet.site.workspace_settings = "trust_for = 1\n";
  fleet.site.AddGateway("entry-1");
  CHECK(fleet.Status("entry-1", "kennel-key") == 200);
  fleet.site.store().SetHealth(ObjectStore::Health::kBusy);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 503; }));
  CHECK(fleet.Send("entry-1", "", "/book/1").status == 200);
  fleet.site.store().SetHealth(ObjectStore::Health::kGood);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 200; }));
}

// Guards against sharing jobs between workspaces that submit them under the
// same id, also after a restart of the gateway. Each reads its own job, and
// items run for their workspace, even with another key among the headers of an
// item.
TEST_CASE("a job belongs to its workspace") {
  WorkspaceFleet fleet;
  fleet.site.AddGateway("entry-1");
  fleet.site.AddGateway("entry-2");
  auto job = fleet.site.Job("entry-1", "job-a", 2);
  json::value text = json::parse(job.body);
  text.at("items").at(0).at("headers").as_object()["authorization"] =
      "Bearer kennel-key";
  text.at("items").at(0).at("headers").as_object()["Tenant"] = "cattery";
  job.body = json::serialize(text);
  const unsigned accepted =
      fleet.site.Call(fleet.WithKey(std::move(job), "kennel-key")).status;
  REQUIRE(accepted == 202);
  CHECK_FALSE(fleet.site.store().ContainsText("knapweedstile", "kennel-key"));
  CHECK(fleet.site.store().ContainsText("knapweedstile", "\"kennel\""));
  const std::string read = "/-/lots/job-a?after=0";
  const auto listed = [&](const std::string& gateway, const std::string& key) {
    const auto end = fleet.SendJobRequest(gateway, "GET", read, key);
    if (end.status != 200) return static_cast<size_t>(0);
    return json::parse(end.body).at("results").as_array().size();
  };
  CHECK(fleet.site.caller().RunUntil(
      [&] { return listed("entry-2", "kennel-second") == 2; }));
  for (const auto& run : fleet.model.runs()) {
    CHECK(run.headers.Find("Tenant") == "kennel");
    CHECK(TextOf(run.headers).find("kennel-key") == std::string::npos);
  }
  for (const std::string gateway : {"entry-1", "entry-2"}) {
    CHECK(fleet.SendJobRequest(gateway, "GET", read, "cattery-key").status ==
          404);
    CHECK(fleet
              .SendJobRequest(gateway, "GET", "/-/items/job-a?id=job-a-0",
                              "cattery-key")
              .status == 404);
    CHECK(
        fleet.SendJobRequest(gateway, "DELETE", "/-/lots/job-a", "cattery-key")
            .status == 404);
  }
  // The same id names a separate job in the other workspace.
  REQUIRE(fleet.site
              .Call(fleet.WithKey(fleet.site.Job("entry-2", "job-a", 3),
                                  "cattery-key"))
              .status == 202);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return listed("entry-1", "cattery-key") == 3; }));
  CHECK(listed("entry-1", "kennel-key") == 2);
  fleet.site.process("entry-1").Signal(SIGKILL);
  fleet.site.RestartGateway("entry-1");
  CHECK(fleet.site.caller().RunUntil(
      [&] { return listed("entry-1", "kennel-key") == 2; }));
  CHECK(fleet.SendJobRequest("entry-1", "GET", read, "wrong").status == 401);
  CHECK(listed("entry-1", "cattery-key") == 3);
}

// Guards against rejecting the jobs of one workspace because another has
// reached its limit.
TEST_CASE("the limit on waiting tokens applies per workspace") {
  WorkspaceFleet fleet;
  fleet.model.first_pause = std::chrono::seconds(60);
  fleet.site.Configure(3, {{"max_count", 1000}});
  fleet.site.AddGateway("entry-1");
  const auto submit = [&](const std::string& job, const std::string& key) {
    return fleet.site
        .Call(fleet.WithKey(fleet.site.Job("entry-1", job, 8), key))
        .status;
  };
  CHECK(submit("job-a", "kennel-key") == 202);
  CHECK(submit("job-b", "kennel-second") == 429);
  CHECK(submit("job-c", "cattery-key") == 202);
}

// Guards against gateways that each admit the full rate. A workspace with a
// limit of four requests a second sends two hundred at once to both gateways,
// which together admit its rate; rejected requests get a Retry-After. A
// workspace without a limit is served throughout.
TEST_CASE("a rate limit holds across all gateways") {
  WorkspaceFleet fleet;
  fleet.site.workspaces = {Workspace("kennel", {"kennel-key"}, 4, 4),
                           Workspace("cattery", {"cattery-key"})};
  fleet.site.Configure(3);
  fleet.site.AddGateway("entry-1");
  fleet.site.AddGateway("entry-2");
  // For the first five seconds the fleet does not know what was admitted before
  // its start.
  fleet.site.caller().RunFor(std::chrono::milliseconds(5500));
  int served = 0;
  for (int i = 0; i < 200; ++i) {
    const auto end =
        fleet.Send(i % 2 == 0 ? "entry-1" : "entry-2", "kennel-key");
    CHECK((end.status == 200 || end.status == 429));
    if (end.status == 200) ++served;
    if (end.status == 429) {
      CHECK_FALSE(end.headers.Find("Retry-After").empty());
      CHECK(end.body.find("\"not_run\":true") != std::string::npos);
    }
  }
  CHECK(served >= 8);
  CHECK(served <= (5 * 4 + 4) * 1.1 + 20);
  CHECK(fleet.Status("entry-1", "cattery-key") == 200);
  CHECK(fleet.Logged({"entry-1"}, "event=over_rate"));
  int code = 0;
  const std::string shown = fleet.site.RunKnapctl(
      {"workspaces", "--admin", fleet.site.readiness("entry-1"), "--admin",
       fleet.site.readiness("entry-2")},
      &code);
  CHECK(code == 0);
  CHECK(shown.find("4/s + 4") != std::string::npos);
  CHECK(shown.find("no limit") != std::string::npos);
  CHECK(shown.find("kennel-key") == std::string::npos);
}

}  // namespace knapweedstile::users_site
