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

// Gateways before one model server and one plain one, and two workspaces.
struct Callers {
  Site site;
  ModelServer& model;
  ModelServer& plain;

  Callers()
      : model(site.AddServer("llm", "i-1")),
        plain(site.AddServer("app", "i-2")) {
    site.workspaces = {Workspace("kennel", {"kennel-key", "kennel-second"}),
                       Workspace("cattery", {"cattery-key"})};
    site.public_routes = {"book"};
    // Room for a key that is too long.
    site.max_header_bytes = 12000;
    site.Configure(2);
  }

  http::ClientRequest WithKey(http::ClientRequest request,
                              const std::string& key) const {
    if (!key.empty()) request.headers.Add("Authorization", "Bearer " + key);
    return request;
  }
  http::EndEvent Ask(const std::string& gateway, const std::string& key,
                     const std::string& target = "/ping/1") {
    const std::string id = "r" + std::to_string(++asked_);
    return site.Call(WithKey(site.Online(gateway, "GET", target, id), key));
  }
  unsigned Status(const std::string& gateway, const std::string& key) {
    return Ask(gateway, key).status;
  }
  http::EndEvent Lot(const std::string& gateway, const std::string& method,
                     const std::string& target, const std::string& key) {
    http::ClientRequest request;
    request.address = site.callers(gateway);
    request.method = method;
    request.target = target;
    request.headers.Add("Host", kHost);
    return site.Call(WithKey(std::move(request), key));
  }
  // Whether any gateway's log holds the text.
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
  int asked_ = 0;
};

// Everything that a header list holds, in one text.
std::string TextOf(const http::HeaderList& headers) {
  std::string text;
  for (const auto& [name, value] : headers.fields()) {
    text.append(name).append("=").append(value).append("\n");
  }
  return text;
}

}  // namespace

// A caller says that it is another workspace, beside a key of its own. A server
// that takes its word would bill the other one; a server that gets the key
// could act as the caller.
TEST_CASE("a server is told the workspace of the key and never the key") {
  Callers fleet;
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
  // A public route is entered without a key; a claim is still not passed on.
  auto open = fleet.site.Online("entry-1", "GET", "/book/1", "open");
  open.headers.Add("Tenant", "somebody-else");
  open.headers.Add("Authorization", "Bearer stolen");
  const unsigned open_status = fleet.site.Call(std::move(open)).status;
  CHECK(open_status == 200);
  CHECK(TextOf(fleet.plain.runs().back().headers).find("stolen") ==
        std::string::npos);
  CHECK(fleet.plain.runs().back().headers.Find("Tenant").empty());
  CHECK_FALSE(fleet.Logged({"entry-1"}, "kennel-key"));
  CHECK(fleet.site.Metrics("entry-1").find("kennel-key") == std::string::npos);
}

TEST_CASE("without a key that holds nothing runs, and the caller is told") {
  Callers fleet;
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
  CHECK(fleet.Lot("entry-1", "GET", "/-/lots/job-a?after=0", "").status == 401);
  CHECK(fleet.Lot("entry-1", "DELETE", "/-/lots/job-a", "wrong").status == 401);
}

// The operator takes a key away while its caller keeps a connection open and
// a stream runs. The stream ends as it began; the next request on the same
// connection is refused; another key of the workspace still holds.
TEST_CASE("a key that is taken away opens nothing any more") {
  Callers fleet;
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
  // It comes back, with another workspace; the last key of the first is gone.
  fleet.site.workspaces = {Workspace("kennel", {}),
                           Workspace("cattery", {"kennel-key"})};
  fleet.site.Configure(4);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 200; }));
  CHECK(fleet.plain.runs().back().headers.Find("Tenant") == "cattery");
  CHECK(fleet.Status("entry-1", "kennel-second") == 401);
}

// A key is taken away while the store turns one of two gateways away. The other
// gateway has the new configuration and passes it on; the first must not go on
// with what it knew.
TEST_CASE("a gateway that the store turns away learns of keys from others") {
  Callers fleet;
  fleet.site.AddGateway("entry-1");
  fleet.site.use_second_store_address = true;
  fleet.site.AddGateway("entry-2");
  REQUIRE(fleet.site.caller().RunUntil([&] {
    return fleet.Logged({"entry-1"}, "peer_found") &&
           fleet.Logged({"entry-2"}, "peer_found");
  }));
  fleet.site.caller().RunFor(std::chrono::milliseconds(600));
  fleet.site.store().TurnAwaySecond(true);
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return fleet.Logged({"entry-2"}, "store_lost"); }));
  fleet.site.workspaces = {Workspace("kennel", {"kennel-second"})};
  fleet.site.Configure(3);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-2", "kennel-key") != 200; }));
  CHECK(fleet.Status("entry-2", "kennel-second") == 200);
}

// A key is new, and the gateway that its caller reaches has not seen the
// version that holds it: the store turns it away. Telling the caller that its
// key is wrong would be false, and it would not come again.
TEST_CASE("a gateway in doubt asks a caller to come back") {
  Callers fleet;
  fleet.site.use_second_store_address = true;
  fleet.site.AddGateway("entry-1");
  fleet.site.store().TurnAwaySecond(true);
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "new-key") == 503; }));
  fleet.site.workspaces = {Workspace("kennel", {"kennel-key", "new-key"})};
  fleet.site.Configure(3);
  const auto doubt = fleet.Ask("entry-1", "new-key");
  CHECK(doubt.status == 503);
  CHECK_FALSE(doubt.headers.Find("Retry-After").empty());
  CHECK(fleet.Ask("entry-1", "kennel-key", "/nowhere/1").status == 503);
  CHECK(fleet.Status("entry-1", "kennel-key") == 200);
  fleet.site.store().TurnAwaySecond(false);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "new-key") == 200; }));
  CHECK(fleet.Status("entry-1", "wrong") == 401);
}

TEST_CASE("a gateway without a configuration denies nobody") {
  Callers fleet;
  fleet.site.store().SetHealth(ObjectStore::Health::kBusy);
  fleet.site.StartGateway("entry-1");
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 503; }));
  CHECK(fleet.Status("entry-1", "") == 503);
  CHECK(fleet.Lot("entry-1", "GET", "/-/lots/job-a?after=0", "kennel-key")
            .status == 503);
}

// The operator wants a gateway that has not heard from the store for a second
// to refuse rather than to trust keys that may be gone.
TEST_CASE("an operator may choose that old knowledge opens nothing") {
  Callers fleet;
  fleet.site.workspace_settings = "trust_for = 1\n";
  fleet.site.AddGateway("entry-1");
  CHECK(fleet.Status("entry-1", "kennel-key") == 200);
  fleet.site.store().SetHealth(ObjectStore::Health::kBusy);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 503; }));
  CHECK(fleet.Ask("entry-1", "", "/book/1").status == 200);
  fleet.site.store().SetHealth(ObjectStore::Health::kGood);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Status("entry-1", "kennel-key") == 200; }));
}

// Two workspaces hand in jobs under the same id, one with a key among an item's
// headers. Each finds its own job; to the other it does not exist, also where
// the gateway has started anew. Items run for their workspace.
TEST_CASE("a job belongs to its workspace") {
  Callers fleet;
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
  CHECK_FALSE(fleet.site.store().Holds("knapweedstile", "kennel-key"));
  CHECK(fleet.site.store().Holds("knapweedstile", "\"kennel\""));
  const std::string read = "/-/lots/job-a?after=0";
  const auto listed = [&](const std::string& gateway, const std::string& key) {
    const auto end = fleet.Lot(gateway, "GET", read, key);
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
    CHECK(fleet.Lot(gateway, "GET", read, "cattery-key").status == 404);
    CHECK(fleet.Lot(gateway, "GET", "/-/items/job-a?id=job-a-0", "cattery-key")
              .status == 404);
    CHECK(fleet.Lot(gateway, "DELETE", "/-/lots/job-a", "cattery-key").status ==
          404);
  }
  // The other workspace's job of the same id is another job.
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
  CHECK(fleet.Lot("entry-1", "GET", read, "wrong").status == 401);
  CHECK(listed("entry-1", "cattery-key") == 3);
}

// One workspace has as many tokens waiting as it may. The other must not be
// refused for it.
TEST_CASE("the limit on waiting tokens is each workspace's own") {
  Callers fleet;
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

// A workspace of four requests a second sends two hundred at once to both
// gateways. Together they admit its limit and not each; the others are told
// when to come back. A workspace without a limit is served all the while.
TEST_CASE("a rate holds over all gateways") {
  Callers fleet;
  fleet.site.workspaces = {Workspace("kennel", {"kennel-key"}, 4, 4),
                           Workspace("cattery", {"cattery-key"})};
  fleet.site.Configure(3);
  fleet.site.AddGateway("entry-1");
  fleet.site.AddGateway("entry-2");
  // What was admitted before the fleet's start is not known for five seconds.
  fleet.site.caller().RunFor(std::chrono::milliseconds(5500));
  int served = 0;
  for (int i = 0; i < 200; ++i) {
    const auto end =
        fleet.Ask(i % 2 == 0 ? "entry-1" : "entry-2", "kennel-key");
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
  const std::string shown = fleet.site.Control(
      {"workspaces", "--admin", fleet.site.readiness("entry-1"), "--admin",
       fleet.site.readiness("entry-2")},
      &code);
  CHECK(code == 0);
  CHECK(shown.find("4/s + 4") != std::string::npos);
  CHECK(shown.find("no limit") != std::string::npos);
  CHECK(shown.find("kennel-key") == std::string::npos);
}

}  // namespace knapweedstile::users_site
