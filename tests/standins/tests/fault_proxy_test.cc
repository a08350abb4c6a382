#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include "harness/caller.h"
#include "harness/process.h"

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

// A plain service behind the proxy.
struct Proxied {
  Proxied() {
    service.emplace(folder, "service", Program::kService,
                    std::vector<std::string>{
                        "--name=s", "--run-log=" + folder.File("runs")});
    proxy.emplace(
        folder, "proxy", Program::kFaultProxy,
        std::vector<std::string>{"--to=" + service->WaitForValue("address")});
    address = proxy->WaitForValue("address");
    control = proxy->WaitForValue("control");
    REQUIRE_FALSE(address.empty());
  }

  void Strike(const std::string& fault) {
    REQUIRE(caller.Post(control, "/fault", fault).status == 200);
  }
  int64_t Struck(const char* mode) {
    const json::value counts = json::parse(caller.Get(control, "/fault").body);
    return counts.at(mode).at("connections").as_int64();
  }
  ScratchFolder folder;
  std::optional<Process> service;
  std::optional<Process> proxy;
  std::string address;
  std::string control;
  Caller caller;
};

}  // namespace

TEST_CASE("fault proxy: passes, cuts and drops answers, and counts it") {
  Proxied proxied;
  CHECK(proxied.caller.Post(proxied.address, "/x", "body").status == 200);
  CHECK(proxied.Struck("cut") == 0);
  proxied.Strike(R"({"mode":"cut"})");
  CHECK(proxied.Struck("cut") == 1);
  CHECK(proxied.caller.Get(proxied.address, "/").outcome !=
        http::ClientOutcome::kComplete);
  proxied.Strike(R"({"mode":"drop_answer"})");
  CHECK(proxied.caller.Get(proxied.address, "/dropped").outcome ==
        http::ClientOutcome::kLost);
  CHECK(proxied.Struck("drop_answer") == 1);
  CHECK(ReadFile(proxied.folder.File("runs")).find("/dropped") !=
        std::string::npos);
  proxied.Strike(R"({"mode":"cut","after_bytes":60})");
  CHECK(proxied.caller.Get(proxied.address, "/part").outcome ==
        http::ClientOutcome::kLost);
  proxied.Strike(R"({"mode":"delay","ms":1})");
  CHECK(proxied.caller.Get(proxied.address, "/").status == 200);
  CHECK(proxied.Struck("delay") == 1);
  proxied.Strike(R"({"mode":"pass"})");
  CHECK(proxied.caller.Get(proxied.address, "/").status == 200);
}

TEST_CASE("fault proxy: frozen for good while new connections work") {
  Proxied proxied;
  REQUIRE(proxied.caller.Get(proxied.address, "/").status == 200);
  proxied.Strike(R"({"mode":"freeze","only_existing":true})");
  // On the kept connection, which is frozen, then on a new one.
  const ExchangeId frozen = proxied.caller.Begin({.address = proxied.address});
  REQUIRE(
      proxied.caller.RunUntil([&] { return proxied.Struck("freeze") == 1; }));
  CHECK(proxied.caller.Get(proxied.address, "/").status == 200);
  proxied.Strike(R"({"mode":"pass"})");
  CHECK(proxied.caller.Get(proxied.address, "/").status == 200);
  CHECK_FALSE(proxied.caller.answer(frozen).end);
}

TEST_CASE("fault proxy: one direction freezes, and a freeze can end") {
  Proxied proxied;
  proxied.Strike(R"({"mode":"freeze_to_client"})");
  const ExchangeId held =
      proxied.caller.Begin({.address = proxied.address, .target = "/held"});
  REQUIRE(proxied.caller.RunUntil([&] {
    return ReadFile(proxied.folder.File("runs")).find("/held") !=
           std::string::npos;
  }));
  REQUIRE(proxied.caller.RunUntil(
      [&] { return proxied.Struck("freeze_to_client") == 1; }));
  CHECK_FALSE(proxied.caller.answer(held).end);
  proxied.Strike(R"({"mode":"pass"})");
  REQUIRE(proxied.caller.RunUntilEnd(held));
  CHECK(proxied.caller.answer(held).end->status == 200);
}

TEST_CASE("weight store: a limited number of downloads at a time") {
  const ScratchFolder folder;
  Process process(
      folder, "weights", Program::kWeights,
      {"--concurrent=1", "--model-bytes=100000", "--bytes-per-s=1000"});
  const std::string address = process.WaitForValue("address");
  Caller caller;
  const ExchangeId first = caller.Begin(
      {.address = address, .target = "/weights/m", .stream_body = true});
  REQUIRE(
      caller.RunUntil([&] { return caller.answer(first).head.has_value(); }));
  CHECK(caller.Get(address, "/weights/m").status == 429);
  caller.Cancel(first);
  const ExchangeId second = caller.Begin(
      {.address = address, .target = "/weights/m", .stream_body = true});
  CHECK(
      caller.RunUntil([&] { return caller.answer(second).head.has_value(); }));
}

TEST_CASE("harness: a paused process answers after it is resumed") {
  const ScratchFolder folder;
  Process process(folder, "service", Program::kService, {});
  const std::string address = process.WaitForValue("address");
  Caller caller;
  process.Pause();
  const ExchangeId call = caller.Begin({.address = address});
  caller.RunFor(std::chrono::milliseconds(100));
  CHECK_FALSE(caller.answer(call).end);
  process.Resume();
  REQUIRE(caller.RunUntilEnd(call));
  CHECK(caller.answer(call).end->status == 200);
  process.Kill();
  CHECK(process.exit_code() == 128 + 9);
}

}  // namespace knapweedstile::harness
