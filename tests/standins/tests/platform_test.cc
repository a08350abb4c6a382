#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include "harness/caller.h"
#include "harness/process.h"

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

struct Platform {
  explicit Platform(std::vector<std::string> flags = {}) {
    flags.push_back("--log=" + folder.File("history"));
    process.emplace(folder, "platform", Program::kPlatform, flags);
    address = process->WaitForValue("address");
    REQUIRE_FALSE(address.empty());
  }

  http::EndEvent Write(const std::string& name, int if_version,
                       const std::string& value) {
    return caller.Put(address,
                      "/v1/objects/policy/" + name +
                          "?if_version=" + std::to_string(if_version),
                      value);
  }
  json::object Ask(const std::string& target) {
    return json::parse(caller.Get(address, target).body).as_object();
  }

  ScratchFolder folder;
  std::optional<Process> process;
  std::string address;
  Caller caller;
};

}  // namespace

TEST_CASE("platform: conditional updates, one history, list and delete") {
  Platform platform;
  CHECK(platform.Write("a%2Fb", 0, "one").status == 200);
  CHECK(platform.Write("a%2Fb", 0, "two").status == 409);
  CHECK(platform.Write("c", 0, "three").body == R"({"version":2})");
  CHECK(platform.Write("a%2Fb", 1, "four").body == R"({"version":3})");
  const json::object read = platform.Ask("/v1/objects/policy/a%2Fb");
  CHECK(read.at("name") == "a/b");
  CHECK(read.at("value") == "four");
  const json::object page =
      platform.Ask("/v1/objects/policy?after=0&limit=1&values=false");
  CHECK(page.at("more") == true);
  CHECK(page.at("revision") == 2);
  CHECK_FALSE(page.at("objects").at(0).as_object().contains("value"));
  const http::EndEvent gone =
      platform.caller.Call({.address = platform.address,
                            .method = "DELETE",
                            .target = "/v1/objects/policy/c?if_version=2"});
  CHECK(gone.status == 200);
  CHECK(platform.Ask("/v1/objects/policy").at("objects").as_array().size() ==
        1);
  CHECK(platform.Ask("/v1/objects/policy?after=3")
            .at("objects")
            .at(0)
            .at("deleted") == true);
  const http::EndEvent unconditional = platform.caller.Put(
      platform.address, "/v1/objects/policy/c", "no version");
  CHECK(unconditional.status == 428);
  CHECK(platform.Write("big", 0, std::string((1 << 20) + 1, 'x')).status ==
        413);
  platform.process->Terminate();
  REQUIRE(platform.process->WaitForEnd());
  CHECK(platform.process->exit_code() == 0);
}

TEST_CASE("platform: a watch is held until a change of its kind") {
  Platform platform;
  const ExchangeId watch = platform.caller.Begin(
      {.address = platform.address,
       .target = "/v1/watch?kinds=engine,policy&after=0&wait_ms=60000"});
  platform.caller.Put(platform.address, "/v1/objects/job/x?if_version=0", "x");
  CHECK_FALSE(platform.caller.answer(watch).end);
  platform.Write("a", 0, "one");
  REQUIRE(platform.caller.RunUntilEnd(watch));
  const json::value answer =
      json::parse(platform.caller.answer(watch).end->body);
  CHECK(answer.at("revision") == 2);
  CHECK(answer.at("objects").at(0).at("name") == "a");
  CHECK(platform.Ask("/v1/watch?kinds=policy&after=2&wait_ms=1")
            .at("objects")
            .as_array()
            .empty());
}

TEST_CASE("platform: outages, lost answers and quotas strike as ordered") {
  Platform platform;
  const auto order = [&](const std::string& body) {
    return platform.caller.Post(platform.address, "/control", body).status;
  };
  CHECK(order(R"({"lose_answers":1})") == 200);
  CHECK(platform.Write("a", 0, "one").outcome == http::ClientOutcome::kLost);
  CHECK(platform.Ask("/v1/objects/policy/a").at("value") == "one");
  CHECK(order(R"({"outage_ms":3600000})") == 200);
  CHECK(platform.Write("a", 1, "two").status == 503);
  CHECK(order(R"({"outage_ms":0,"quota_writes_per_s":1})") == 200);
  unsigned last = 200;
  for (int i = 0; i < 1000 && last != 429; ++i) {
    last = platform.Write("b" + std::to_string(i), 0, "x").status;
  }
  CHECK(last == 429);
  const json::object counts = platform.Ask("/control");
  CHECK(counts.at("answers_lost") == 1);
  CHECK(counts.at("refused_in_outage") == 1);
  CHECK(counts.at("throttled") == 1);
  CHECK(platform.Ask("/v1/objects/policy/a").at("version") == 1);
  CHECK(ReadFile(platform.folder.File("history")).find(R"("value":"two")") ==
        std::string::npos);
}

TEST_CASE("platform: readers of the VM list see it late") {
  Platform platform({"--vm-lag-ms=3600000"});
  platform.caller.Put(platform.address, "/v1/vms/a", R"({"role":"entry"})");
  CHECK(platform.Ask("/v1/vms").at("vms").as_array().empty());
  Platform prompt;
  prompt.caller.Put(prompt.address, "/v1/vms/a", R"({"role":"entry"})");
  CHECK(prompt.Ask("/v1/vms").at("vms").at(0).at("state") == "live");
}

}  // namespace knapweedstile::harness
