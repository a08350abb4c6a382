// An owner watches the answer appear word by word, then closes the page. What
// is still to be made is made for nobody: unless the close reaches the engine,
// the stream goes on and keeps its slot from the next caller.

#include <catch2/catch.hpp>

#include "harness/completion.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

// At 5 ms a token far longer than the test's own limit.
constexpr int kEndless = 30000;

http::ClientRequest StreamRequest(const std::string& entry,
                                  const std::string& id, int words) {
  http::ClientRequest request{
      .address = entry,
      .method = "POST",
      .target = "/v1/completions",
      .body = CompletionBody(kModel, PromptOf(id, words), words, true),
      .stream_body = true};
  request.headers.Add("X-Request-Id", id);
  return request;
}

}  // namespace

TEST_CASE("a stream's first words come long before its end") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {.flags = {"--prefill-us-per-token=0"}});
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  Caller& caller = fleet.caller();
  const ExchangeId endless = caller.Begin(
      StreamRequest(fleet.callers("entry-1"), "endless", kEndless));
  REQUIRE(caller.RunUntil([&] {
    return FromEvents(caller.answer(endless).streamed)
        .text.starts_with("endless-0 endless-1 ");
  }));
  CHECK_FALSE(caller.answer(endless).end);
}

TEST_CASE("a caller's disconnect cancels its stream at the engine") {
  Fleet fleet;
  fleet.AddEngine("engine-1",
                  {.slots = 1, .flags = {"--prefill-us-per-token=0"}});
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  Caller& caller = fleet.caller();
  const std::string& entry = fleet.callers("entry-1");
  const ExchangeId endless =
      caller.Begin(StreamRequest(entry, "endless", kEndless));
  REQUIRE(caller.RunUntil(
      [&] { return !caller.answer(endless).streamed.empty(); }));
  REQUIRE(fleet.InFlight("engine-1") == 1);

  caller.Cancel(endless);
  REQUIRE(caller.RunUntil([&] {
    return ReadFile(fleet.run_log("engine-1"))
               .find(R"("event":"cancel","request":"endless")") !=
           std::string::npos;
  }));
  // The one slot is free again.
  const ExchangeId next = caller.Begin(StreamRequest(entry, "next", 5));
  REQUIRE(caller.RunUntilEnd(next));
  CHECK(FromEvents(caller.answer(next).streamed).done);
}

}  // namespace knapweedstile::harness
