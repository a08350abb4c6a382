// An owner asks about open nights and front-desk staff check a pet in: each
// request goes through an entry and a sidecar to its backend server, and the
// caller gets the whole of its own answer, as JSON or as a stream.

#include <catch2/catch.hpp>

#include "harness/completion.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

constexpr char kServiceObject[] =
    R"({"labels":{},"spec":{"path_prefix":"/empfang"}})";

}  // namespace

TEST_CASE("an online request is answered from end to end") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {});
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  const std::string& entry = fleet.callers("entry-1");
  Caller& caller = fleet.caller();

  const http::EndEvent models = caller.Get(entry, "/v1/models");
  CHECK(models.body.find(kModel) != std::string::npos);

  http::ClientRequest request{
      .address = entry,
      .method = "POST",
      .target = "/v1/chat/completions",
      .body =
          std::string(R"({"model":")") + kModel +
          R"(","messages":[{"role":"user","content":"open nights in May"}]})"};
  request.headers.Add("X-Request-Id", "owner-1");
  const http::EndEvent chat = caller.Call(std::move(request));
  CHECK(chat.status == 200);
  CHECK(chat.headers.Find("X-Request-Id") == "owner-1");
  CHECK(Joined(FromJson(chat.body).text) == "open nights in May");

  Ledger ledger;
  OnlineLoad load(caller, ledger, fleet.callers(), 8, 10);
  REQUIRE(load.RunUntil([&] { return ledger.answered() >= 40; }));
  REQUIRE(load.Finish());
  fleet.ReadRunLogs(ledger);
  CHECK(load.failures() == kNone);
  CHECK(ledger.Faults() == kNone);
  CHECK(ledger.RunsOf("owner-1") == 1);
}

TEST_CASE("a call of a plain service is passed on and back as it is") {
  Fleet fleet;
  fleet.AddService("service-1");
  fleet.PutObject("service", kService, kServiceObject);
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  const std::string& entry = fleet.callers("entry-1");
  REQUIRE(fleet.caller().GetUntil(
      entry, "/empfang/ready",
      [](const http::EndEvent& end) { return end.status == 200; }));

  Ledger ledger;
  ledger.SentOnce("booking-1");
  http::ClientRequest request{.address = entry,
                              .method = "POST",
                              .target = "/empfang/bookings?night=3",
                              .body = "Rex"};
  request.headers.Add("Idempotency-Key", "booking-1");
  const http::EndEvent booking = fleet.caller().Call(std::move(request));
  CHECK(booking.status == 200);
  CHECK(booking.body.find(R"("method":"POST")") != std::string::npos);
  CHECK(booking.body.find(R"("path":"/empfang/bookings?night=3")") !=
        std::string::npos);
  CHECK(booking.body.find(R"("body":"Rex")") != std::string::npos);
  fleet.ReadRunLogs(ledger);
  CHECK(ledger.RunsOf("booking-1") == 1);
  CHECK(ledger.Faults() == kNone);

  CHECK(fleet.caller().Get(entry, "/nobody").status == 404);
}

}  // namespace knapweedstile::harness
