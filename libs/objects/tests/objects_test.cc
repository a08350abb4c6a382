#include <catch2/catch.hpp>

#include "objects/catalog.h"
#include "objects/parse.h"
#include "objects/policy_order.h"
#include "objects/selector.h"

namespace knapweedstile::objects {

namespace {

std::string PolicyJson(int priority, const std::string& more = "") {
  return R"({"labels":{},"spec":{"priority":)" + std::to_string(priority) +
         more + "}}";
}

FieldErrors ErrorsOfPolicy(const std::string& value) {
  Parsed<Policy> parsed = Parse<Policy>(value);
  REQUIRE(std::holds_alternative<FieldErrors>(parsed));
  return std::get<FieldErrors>(parsed);
}

// The policy that applies to a request of the workspace, or null.
const Policy* PolicyFor(const Catalog& catalog, const std::string& workspace,
                        const std::string& target) {
  return PolicyForTraffic(catalog.AllPolicies(),
                          catalog.workspaces().at(workspace).labels, target);
}

// Name of the policy that sets the sharing of the engine.
std::string SharingOf(const Catalog& catalog, const std::string& engine) {
  const Policy* policy =
      PolicyForEngine(catalog.AllPolicies(), catalog.engines().at(engine));
  return policy == nullptr ? "default" : policy->sharing.name;
}

}  // namespace

TEST_CASE("a selector's conditions must all hold") {
  Selector selector;
  selector.match["tier"] = "gold";
  selector.in["zone"] = {"bern-a", "bern-b"};
  selector.not_in["state"] = {"old"};
  selector.exists = {"owner"};
  const Labels good = {{"tier", "gold"}, {"zone", "bern-b"}, {"owner", "x"}};
  REQUIRE(Matches(selector, good));
  REQUIRE(Matches(Selector{}, good));
  for (const char* key : {"tier", "zone", "owner"}) {
    Labels lacking = good;
    lacking.erase(key);
    REQUIRE_FALSE(Matches(selector, lacking));
  }
  Labels old = good;
  old["state"] = "old";
  REQUIRE_FALSE(Matches(selector, old));
}

TEST_CASE("each invalid field is reported with its value and what is allowed") {
  const FieldErrors errors = ErrorsOfPolicy(
      R"({"spec":{"priority":1.5,"sharing":"half","batch_share":2,"traffic":)"
      R"({"in":{"tier":["a",7]},"target":[]},"prio":3},"label":{}})");
  REQUIRE(errors.size() == 7);
  const std::string text = Describe(errors);
  for (const char* part :
       {"spec.priority: 1.5", "spec.traffic.in.tier[1]: 7",
        "spec.traffic.target: []", "spec.sharing: \"half\"",
        "static_share, priority_cancel", "spec.batch_share: 2", "spec.prio: 3",
        "label: {}"}) {
    CAPTURE(part, text);
    REQUIRE(text.find(part) != std::string::npos);
  }
  REQUIRE(ErrorsOfPolicy("{")[0].field == "value");
  REQUIRE(ErrorsOfPolicy("{}")[0].field == "spec");
}

TEST_CASE("a policy with all fields is parsed") {
  const Parsed<Policy> parsed = Parse<Policy>(
      R"({"labels":{"a":"b"},"spec":{"priority":7,"traffic":{"match":{"t":"g"},)"
      R"("targets":["m"]},"engines":{"exists":["gpu"]},"sharing":)"
      R"("arrival_reserve","batch_share":0.5,"reserve_sigma":1.5}})");
  const auto& policy = std::get<Policy>(parsed);
  REQUIRE(policy.priority == 7);
  REQUIRE(policy.traffic.match.at("t") == "g");
  REQUIRE(policy.targets == std::vector<std::string>{"m"});
  REQUIRE(policy.sharing.kind == decide::SharingKind::kArrivalReserve);
  REQUIRE(policy.sharing.batch_share_permille == 500);
  REQUIRE(policy.sharing.reserve_sigma_percent == 150);
}

// Guards against a typing error in a policy that makes nodes drop the policy
// and serve its traffic by the default one, for example during a comparison.
TEST_CASE("an invalid object leaves the last valid version active") {
  Catalog catalog;
  REQUIRE(catalog.Apply("policy", "p", 4, PolicyJson(5), false).outcome ==
          ApplyOutcome::kAccepted);
  const uint64_t digest = catalog.digest();
  const ApplyResult rejected =
      catalog.Apply("policy", "p", 9, PolicyJson(5, R"(,"x":1)"), false);
  REQUIRE(rejected.outcome == ApplyOutcome::kInvalid);
  REQUIRE(rejected.errors[0].field == "spec.x");
  REQUIRE(catalog.policies().at("p").version == 4);
  REQUIRE(catalog.digest() == digest);
  REQUIRE(catalog.RejectedObjects()[0].active_version == 4);
  REQUIRE(catalog.revision() == 9);
}

// Guards against a node that receives version 9 from its watch and then version
// 4 from a list that lags: applying the later message would revert an accepted
// configuration or restore a deleted object.
TEST_CASE("an older version never replaces a newer one") {
  Catalog catalog;
  catalog.Apply("policy", "p", 9, PolicyJson(9), false);
  REQUIRE(catalog.Apply("policy", "p", 4, PolicyJson(4), false).outcome ==
          ApplyOutcome::kStale);
  REQUIRE(catalog.policies().at("p").priority == 9);
  catalog.Apply("policy", "p", 12, "", true);
  REQUIRE(catalog.Apply("policy", "p", 9, PolicyJson(9), false).outcome ==
          ApplyOutcome::kStale);
  REQUIRE(catalog.policies().empty());
  REQUIRE(catalog.digest() == Catalog().digest());
}

TEST_CASE("precedence of policies does not depend on their order of arrival") {
  const std::vector<std::pair<std::string, int>> given = {
      {"b", 5}, {"a", 5}, {"z", 9}, {"c", 1}};
  for (size_t turn = 0; turn < given.size(); ++turn) {
    Catalog catalog;
    for (size_t i = 0; i < given.size(); ++i) {
      const auto& [name, priority] = given[(i + turn) % given.size()];
      catalog.Apply("policy", name, 10 + i,
                    PolicyJson(priority, R"(,"traffic":{"targets":["m"]})"),
                    false);
    }
    catalog.Apply("workspace", "w", 50, R"({"spec":{}})", false);
    catalog.Apply("engine", "e", 51, R"({"spec":{"vm":"v","model":"m"}})",
                  false);
    REQUIRE(PolicyFor(catalog, "w", "m")->name == "z");
    REQUIRE(SharingOf(catalog, "e") == "z");
    const auto shadowed = catalog.ShadowedPolicies();
    REQUIRE(shadowed.at("z").empty());
    REQUIRE(shadowed.at("a") == std::vector<std::string>{"z"});
    REQUIRE(shadowed.at("c") == std::vector<std::string>{"z", "a", "b"});
  }
}

TEST_CASE("relabelling moves traffic and engines between policies") {
  Catalog catalog;
  catalog.Apply("policy", "new", 1,
                PolicyJson(5, R"(,"traffic":{"match":{"arm":"new"}},)"
                              R"("engines":{"match":{"arm":"new"}})"),
                false);
  catalog.Apply("policy", "old", 2,
                PolicyJson(1, R"(,"traffic":{"targets":["m"]})"), false);
  catalog.Apply("workspace", "w", 3, R"({"spec":{}})", false);
  catalog.Apply("engine", "e", 4, R"({"spec":{"vm":"v","model":"m"}})", false);
  REQUIRE(PolicyFor(catalog, "w", "m")->name == "old");
  const auto selected = [&] {
    return Matches(catalog.policies().at("new").engines,
                   catalog.engines().at("e").labels);
  };
  REQUIRE_FALSE(selected());
  catalog.Apply("workspace", "w", 5, R"({"labels":{"arm":"new"},"spec":{}})",
                false);
  catalog.Apply("engine", "e", 6,
                R"({"labels":{"arm":"new"},"spec":{"vm":"v","model":"m"}})",
                false);
  REQUIRE(PolicyFor(catalog, "w", "m")->name == "new");
  REQUIRE(SharingOf(catalog, "e") == "new");
  REQUIRE(selected());
  REQUIRE(catalog.EngineOnVm("v")->name == "e");
}

// Guards against a policy without traffic conditions that applies to all
// traffic: while an operator moves twenty engines one by one from such a policy
// to a new one, every request would go to the first engine moved.
TEST_CASE(
    "a policy without traffic conditions only sets its engines' sharing") {
  Catalog catalog;
  catalog.Apply("policy", "p", 1, PolicyJson(5), false);
  catalog.Apply("policy", "q", 2,
                PolicyJson(4, R"(,"traffic":{"targets":["m"]})"), false);
  catalog.Apply("workspace", "w", 3, R"({"spec":{}})", false);
  catalog.Apply("engine", "e", 4, R"({"spec":{"vm":"v","model":"m"}})", false);
  REQUIRE(PolicyFor(catalog, "w", "m")->name == "q");
  REQUIRE(PolicyFor(catalog, "w", "other") == nullptr);
  REQUIRE(SharingOf(catalog, "e") == "p");
}

}  // namespace knapweedstile::objects
