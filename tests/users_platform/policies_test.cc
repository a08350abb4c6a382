#include <catch2/catch.hpp>
#include <fstream>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;

constexpr char kNoBatchOnNight[] = R"([
  {"kind": "policy", "name": "night", "labels": {},
   "spec": {"priority": 10, "traffic": {},
            "engines": {"match": {"pool": "night"}},
            "sharing": "static_share", "batch_share": 0}}])";

// Two gateways in front of two model servers, operated by knapctl.
struct OperatedFleet {
  Site site;
  ModelServer& first;
  ModelServer& second;

  OperatedFleet()
      : first(site.AddServer("llm", "i-1")),
        second(site.AddServer("llm", "i-2")) {
    site.Configure(2);
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }

  // Runs `knapctl WORDS...` against one gateway; returns the exit code.
  int RunKnapctl(const std::vector<std::string>& words,
                 const std::string& gateway = "entry-1") {
    std::vector<std::string> arguments = words;
    arguments.insert(arguments.end(), {"--platform", site.readiness(gateway),
                                       "--admin", site.readiness(gateway)});
    output = site.RunKnapctl(arguments, &code);
    return code;
  }
  int Apply(const std::string& text) {
    const std::string file = site.File("objects.json");
    std::ofstream(file) << text;
    return RunKnapctl({"apply", "-f", file});
  }
  std::string EngineObject(const std::string& name, const ModelServer& server,
                           const std::string& pool) {
    return json::serialize(json::array{json::object{
        {"kind", "engine"},
        {"name", name},
        {"labels", json::object{{"pool", pool}}},
        {"spec", json::object{{"vm", server.address()}, {"model", "llm"}}}}});
  }
  // Whether the status page of every gateway shows this policy for the server.
  bool InForce(const std::string& instance, const std::string& policy) {
    for (const char* gateway : {"entry-1", "entry-2"}) {
      const json::object page = json::parse(site.Status(gateway)).as_object();
      for (const json::value& element : page.at("backend_servers").as_array()) {
        const json::object& server = element.as_object();
        if (server.at("name").as_string() != instance) continue;
        if (server.at("policy").as_string() != policy) return false;
      }
    }
    return true;
  }

  int code = 0;
  std::string output;
};

size_t ItemsAt(const ModelServer& server) {
  size_t items = 0;
  for (const auto& run : server.runs()) {
    items += run.target.starts_with("/summaries/") ? 1 : 0;
  }
  return items;
}

}  // namespace

// Guards against a gateway that does not apply a relabelling: an operator keeps
// batch off one server by a policy and a label, then moves the policy to the
// other server by labels alone. Batch items would still start on a server that
// the policy excludes.
TEST_CASE("a policy follows its labels from server to server") {
  OperatedFleet fleet;
  REQUIRE(fleet.Apply(kNoBatchOnNight) == 0);
  REQUIRE(fleet.Apply(fleet.EngineObject("a", fleet.first, "night")) == 0);
  REQUIRE(fleet.Apply(fleet.EngineObject("b", fleet.second, "day")) == 0);
  CHECK(fleet.site.caller().RunUntil([&] {
    return fleet.InForce("i-1", "night") && fleet.InForce("i-2", "default");
  }));
  CHECK(fleet.site.Call(fleet.site.Job("entry-2", "job-a", 6)).status == 202);
  fleet.site.WaitForResults("entry-1", "job-a", 6);
  CHECK(ItemsAt(fleet.first) == 0);
  CHECK(ItemsAt(fleet.second) == 6);

  REQUIRE(fleet.RunKnapctl({"label", "engine", "a", "pool=day"}) == 0);
  REQUIRE(fleet.RunKnapctl({"label", "engine", "b", "pool=night"}, "entry-2") ==
          0);
  CHECK(fleet.site.caller().RunUntil([&] {
    return fleet.InForce("i-1", "default") && fleet.InForce("i-2", "night");
  }));
  CHECK(fleet.site.Call(fleet.site.Job("entry-1", "job-b", 6)).status == 202);
  fleet.site.WaitForResults("entry-2", "job-b", 6);
  CHECK(ItemsAt(fleet.first) == 6);
  CHECK(ItemsAt(fleet.second) == 6);
}

// Guards against losing batch items that run when a policy that forbids them
// comes into force. They must be preempted at once and completed at another
// server.
TEST_CASE("items that a new policy leaves no slot are preempted, not lost") {
  OperatedFleet fleet;
  fleet.first.events = fleet.second.events = 60;
  fleet.first.event_pause = fleet.second.event_pause =
      std::chrono::milliseconds(30);
  REQUIRE(fleet.Apply(fleet.EngineObject("a", fleet.first, "night")) == 0);
  CHECK(fleet.site.Call(fleet.site.Job("entry-1", "job-a", 4)).status == 202);
  CHECK(fleet.site.caller().RunUntil([&] { return ItemsAt(fleet.first) > 0; }));
  REQUIRE(fleet.Apply(kNoBatchOnNight) == 0);
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", 4);
  for (const json::value& result : page.at("results").as_array()) {
    CHECK(result.at("state") == "completed");
  }
  CHECK(page.at("results").as_array().size() == 4);
  for (const auto& run : fleet.first.runs()) {
    CHECK((run.cancelled || run.complete));
  }
}

TEST_CASE(
    "a policy that matches traffic restricts it to the selected servers") {
  OperatedFleet fleet;
  REQUIRE(fleet.Apply(fleet.EngineObject("a", fleet.first, "fast")) == 0);
  REQUIRE(fleet.Apply(R"([{"kind": "policy", "name": "replies", "labels": {},
      "spec": {"priority": 1, "traffic": {"match": {"route": "reply"}},
               "engines": {"match": {"pool": "fast"}},
               "sharing": "priority_cancel"}}])") == 0);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.InForce("i-1", "replies"); }));
  for (int i = 0; i < 8; ++i) {
    CHECK(fleet.site
              .Call(fleet.site.Online("entry-1", "POST", "/reply/1",
                                      "r" + std::to_string(i)))
              .status == 200);
  }
  CHECK(fleet.first.runs().size() == 8);
  CHECK(fleet.second.runs().empty());
}

// Guards against lost updates and invalid objects: of two operators who edit
// one policy the first succeeds and the second gets a conflict; a misspelled
// field is rejected and named in the error.
TEST_CASE("conflicting and invalid edits are rejected with their cause") {
  OperatedFleet fleet;
  REQUIRE(fleet.Apply(kNoBatchOnNight) == 0);
  constexpr int kConflict = 3;
  constexpr int kInvalid = 6;
  CHECK(fleet.Apply(R"([{"kind": "policy", "name": "night", "labels": {},
      "spec": {"priority": 11, "traffic": {}, "engines": {},
               "sharing": "priority_cancel"}}])") == kConflict);
  CHECK(fleet.output.find("present") != std::string::npos);
  CHECK(fleet.Apply(R"([{"kind": "policy", "name": "day", "labels": {},
      "spec": {"sharing": "priority_cancl"}}])") == kInvalid);
  http::ClientRequest direct;
  direct.address = fleet.site.readiness("entry-1");
  direct.method = "PUT";
  direct.target = "/v1/objects/policy/day?if_version=0";
  direct.body = R"({"labels": {}, "spec": {"sharing": "no"}})";
  const auto rejected = fleet.site.Call(std::move(direct));
  CHECK(rejected.status == 422);
  CHECK(rejected.body.find("sharing") != std::string::npos);
  CHECK(fleet.RunKnapctl({"get", "policy"}) == 0);
  CHECK(fleet.output.find("night") != std::string::npos);
  CHECK(fleet.RunKnapctl({"status"}) == 0);
  CHECK(fleet.output.find("entry-1") != std::string::npos);
  CHECK(fleet.RunKnapctl({"delete", "policy", "night"}) == 0);
  CHECK(fleet.RunKnapctl({"get", "policy", "night"}) == 4);
}

// Guards against a lost update when two operators repeatedly write the same
// policy at the same time through different gateways. Exactly one write must
// succeed each time, the other must get a conflict, and every gateway must
// apply the last successful write.
TEST_CASE("concurrent writes by operators do not overwrite each other") {
  OperatedFleet fleet;
  uint64_t version = 0;
  for (int round = 0; round < 8; ++round) {
    const auto write = [&](const char* gateway, int priority) {
      http::ClientRequest request;
      request.address = fleet.site.readiness(gateway);
      request.method = "PUT";
      request.target =
          "/v1/objects/policy/night?if_version=" + std::to_string(version);
      request.body = R"({"labels":{},"spec":{"sharing":"priority_cancel",)"
                     R"("priority":)" +
                     std::to_string(priority) + "}}";
      return fleet.site.caller().Begin(std::move(request));
    };
    const ExchangeId one = write("entry-1", 2 * round);
    const ExchangeId two = write("entry-2", 2 * round + 1);
    REQUIRE(fleet.site.caller().RunUntilEnd(one));
    REQUIRE(fleet.site.caller().RunUntilEnd(two));
    const auto& first = *fleet.site.caller().answer(one).end;
    const auto& second = *fleet.site.caller().answer(two).end;
    CHECK((first.status == 200) != (second.status == 200));
    CHECK((first.status == 409) != (second.status == 409));
    const auto& winner = first.status == 200 ? first : second;
    version = json::parse(winner.body).at("version").to_number<uint64_t>();
  }
  CHECK(fleet.site.caller().RunUntil([&] {
    const auto one = json::parse(fleet.site.Status("entry-1"));
    const auto two = json::parse(fleet.site.Status("entry-2"));
    return one.at("config_revision") == version &&
           one.at("config_digest") == two.at("config_digest");
  }));
}

}  // namespace knapweedstile::users_site
