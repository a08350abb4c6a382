#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include "harness/caller.h"
#include "harness/completion.h"
#include "harness/ledger.h"
#include "harness/process.h"

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

struct Engine {
  explicit Engine(std::vector<std::string> flags = {}) {
    flags.push_back("--run-log=" + folder.File("runs"));
    process.emplace(folder, "engine", Program::kEngine, flags);
    address = process->WaitForValue("address");
    REQUIRE_FALSE(address.empty());
  }

  http::ClientRequest Request(const std::string& id, const std::string& body) {
    http::ClientRequest request{.address = address,
                                .method = "POST",
                                .target = "/v1/completions",
                                .body = body,
                                .stream_body = true};
    request.headers.Add("X-Request-Id", id);
    return request;
  }
  ExchangeId Begin(const std::string& id, const std::string& prompt) {
    return caller.Begin(Request(id, CompletionBody("m", prompt, 1000, true)));
  }
  bool Logged(const std::string& line) {
    return caller.RunUntil([&] {
      return ReadFile(folder.File("runs")).find(line) != std::string::npos;
    });
  }

  ScratchFolder folder;
  std::optional<Process> process;
  std::string address;
  Caller caller;
};

}  // namespace

TEST_CASE("engine: a stream repeats the prompt's words, cut at max_tokens") {
  Engine engine({"--token-ms=1"});
  const ExchangeId exchange = engine.caller.Begin(
      engine.Request("r1", CompletionBody("m", "one two three four", 3, true)));
  REQUIRE(engine.caller.RunUntilEnd(exchange));
  const Completion completion =
      FromEvents(engine.caller.answer(exchange).streamed);
  CHECK(Joined(completion.text) == "one two three");
  CHECK(completion.finish_reason == "length");
  CHECK(completion.done);
  const http::EndEvent whole = engine.caller.Post(
      engine.address, "/v1/chat/completions",
      R"({"model":"m","messages":[{"role":"user","content":"a b"}]})");
  CHECK(Joined(FromJson(whole.body).text) == "a b");
}

TEST_CASE("engine: a resumed stream sends only what follows") {
  Engine engine({"--token-ms=1"});
  const ExchangeId exchange = engine.caller.Begin(engine.Request(
      "r1", R"({"model":"m","prompt":"one two three","max_tokens":9,)"
            R"("stream":true,"resume_text":"one ","resume_tokens":1})"));
  REQUIRE(engine.caller.RunUntilEnd(exchange));
  CHECK(Joined(FromEvents(engine.caller.answer(exchange).streamed).text) ==
        "two three");
}

TEST_CASE("engine: requests beyond the slots wait; a closed one is cancelled") {
  Engine engine({"--slots=1", "--load-lag-ms=0", "--prefill-us-per-token=0"});
  std::string endless;
  for (int i = 0; i < 100000; ++i) endless += "w ";
  const std::string body = CompletionBody("m", endless, 100000, true);
  const ExchangeId first = engine.caller.Begin(engine.Request("first", body));
  REQUIRE(engine.caller.RunUntil(
      [&] { return !engine.caller.answer(first).streamed.empty(); }));
  const ExchangeId second = engine.Begin("second", "short");
  REQUIRE(engine.caller.GetUntil(
      engine.address, "/control/load", [](const http::EndEvent& end) {
        return end.body.find(R"("running":1,"waiting":1)") != std::string::npos;
      }));
  CHECK(engine.caller.answer(second).streamed.empty());
  engine.caller.Cancel(first);
  REQUIRE(engine.caller.RunUntilEnd(second));
  CHECK(engine.Logged(R"("event":"cancel","request":"first")"));
  CHECK(engine.Logged(R"("event":"end","request":"second")"));
}

TEST_CASE("engine: orders with an old fence are refused only when checked") {
  const auto order = [](Engine& engine, int fence) {
    return engine.caller
        .Post(engine.address, "/control/orders",
              R"({"order":"load_model","model":"m","fence":)" +
                  std::to_string(fence) + "}")
        .status;
  };
  Engine checking({"--check-fence"});
  CHECK(order(checking, 5) == 200);
  CHECK(order(checking, 4) == 409);
  CHECK(order(checking, 5) == 200);
  Engine ignoring;
  CHECK(order(ignoring, 5) == 200);
  CHECK(order(ignoring, 4) == 200);
}

TEST_CASE("engine: the crash word ends the process with others in flight") {
  Engine engine({"--crash-word=boom"});
  const ExchangeId other =
      engine.Begin("other", std::string(10000, 'x') + " a b c d e f g h i j k");
  REQUIRE(engine.caller.RunUntil(
      [&] { return !engine.caller.answer(other).streamed.empty(); }));
  const ExchangeId crash = engine.Begin("crash", "then boom it goes");
  REQUIRE(engine.caller.RunUntilEnd(crash));
  REQUIRE(engine.caller.RunUntilEnd(other));
  CHECK(engine.caller.answer(crash).end->outcome == http::ClientOutcome::kLost);
  REQUIRE(engine.process->WaitForEnd());
  CHECK(engine.process->exit_code() == 139);
  Ledger ledger;
  ledger.ReadRunLog(engine.folder.File("runs"));
  CHECK(ledger.RunsOf("crash") == 1);
}

TEST_CASE("engine: a prompt costs prefill once, then the cache helps") {
  // A cached prompt overtakes a new one whose prefill takes half a minute.
  Engine engine({"--token-ms=1", "--prefill-us-per-token=10000"});
  std::string known;
  std::string fresh;
  for (int i = 0; i < 32; ++i) known += "k" + std::to_string(i) + " ";
  for (int i = 0; i < 3200; ++i) fresh += "f" + std::to_string(i) + " ";
  const auto body = [](const std::string& prompt) {
    return CompletionBody("m", prompt, 1, true);
  };
  const ExchangeId warm =
      engine.caller.Begin(engine.Request("warm", body(known)));
  REQUIRE(engine.caller.RunUntilEnd(warm));
  const ExchangeId slow =
      engine.caller.Begin(engine.Request("slow", body(fresh)));
  REQUIRE(engine.Logged(R"("event":"start","request":"slow")"));
  const ExchangeId cached =
      engine.caller.Begin(engine.Request("cached", body(known)));
  REQUIRE(engine.caller.RunUntilEnd(cached));
  CHECK_FALSE(engine.caller.answer(slow).end);
}

}  // namespace knapweedstile::harness
