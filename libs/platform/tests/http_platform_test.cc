#include "platform/http_platform.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "base/clock.h"
#include "http/server.h"

namespace knapweedstile::platform {

namespace {

namespace json = boost::json;

// Far beyond what any step needs; a test ends here only when it has failed.
constexpr std::chrono::seconds kTestLimit{30};

json::object Shown(const StoredObject& object) {
  return {{"kind", object.kind},
          {"name", object.name},
          {"version", object.version},
          {"deleted", object.deleted},
          {"value", object.value}};
}

// An HTTP server that answers what a test has set.
class Service {
 public:
  explicit Service(boost::asio::io_context& io)
      : server_(io, {}, [this](http::ServerEvent&& event) {
          if (auto* request = std::get_if<http::RequestEvent>(&event)) {
            Serve(*request);
          }
          return true;
        }) {
    const auto port = server_.Listen("127.0.0.1:0");
    address_ = "127.0.0.1:" + std::to_string(port ? port.value() : 0);
  }

  void Set(unsigned status, std::string body, std::string retry_after = "") {
    status_ = status;
    body_ = std::move(body);
    retry_after_ = std::move(retry_after);
  }
  void CutNext() { cut_ = true; }
  const std::string& address() const { return address_; }
  const std::vector<http::RequestEvent>& requests() const { return requests_; }

 private:
  void Serve(const http::RequestEvent& request) {
    requests_.push_back(request);
    if (std::exchange(cut_, false)) {
      server_.Execute(http::AbortCommand{request.exchange});
      return;
    }
    http::RespondCommand respond{request.exchange, status_, {}, body_};
    if (!retry_after_.empty()) respond.headers.Add("Retry-After", retry_after_);
    server_.Execute(std::move(respond));
  }

  unsigned status_ = 200;
  std::string body_ = "{}";
  std::string retry_after_;
  bool cut_ = false;
  std::string address_;
  std::vector<http::RequestEvent> requests_;
  http::Server server_;
};

class Fixture {
 public:
  Fixture() : service(io), platform(MakePlatform({service.address()})) {}

  std::unique_ptr<HttpPlatform> MakePlatform(
      std::vector<std::string> addresses) {
    return std::make_unique<HttpPlatform>(
        io, std::move(addresses),
        [this](StoreAnswer&& answer) { answers.push_back(std::move(answer)); });
  }

  StoreAnswer Call(StoreCall call) {
    const size_t before = answers.size();
    platform->Call({++token, std::move(call), MonotonicNow() + kTestLimit});
    const TimePoint limit = MonotonicNow() + kTestLimit;
    while (answers.size() == before && MonotonicNow() < limit) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
    REQUIRE(answers.size() == before + 1);
    REQUIRE(answers.back().token == token);
    return answers.back();
  }

  boost::asio::io_context io;
  Service service;
  std::vector<StoreAnswer> answers;
  uint64_t token = 0;
  std::unique_ptr<HttpPlatform> platform;
};

}  // namespace

TEST_CASE("calls take the forms of the platform's API") {
  Fixture fixture;
  const auto& requests = fixture.service.requests();
  fixture.service.Set(200, R"({"version":7})");
  const StoreAnswer written =
      fixture.Call(WriteRequest{"job", "003/a b", 6, "{\"x\":1}"});
  REQUIRE(written.outcome == StoreOutcome::kOk);
  REQUIRE(written.version == 7);
  REQUIRE(requests.back().method == "PUT");
  REQUIRE(requests.back().target == "/v1/objects/job/003%2Fa%20b?if_version=6");
  REQUIRE(requests.back().body == "{\"x\":1}");
  fixture.Call(DeleteRequest{"job", "n", 7});
  REQUIRE(requests.back().method == "DELETE");
  fixture.Call(ListRequest{"job", "003/", 5, 9, false});
  REQUIRE(requests.back().target ==
          "/v1/objects/job?prefix=003%2F&after=5&limit=9&values=false");
  fixture.Call(WatchRequest{{"policy", "engine"}, 5, MonotonicNow()});
  REQUIRE(requests.back().target ==
          "/v1/watch?kinds=policy,engine&after=5&wait_ms=0");
}

TEST_CASE("answers are read whole") {
  Fixture fixture;
  const StoredObject object{"job", "a", 4, false, "\"\n\\"};
  fixture.service.Set(200, json::serialize(Shown(object)));
  const StoreAnswer read = fixture.Call(ReadRequest{"job", "a"});
  REQUIRE(read.objects.size() == 1);
  REQUIRE(read.objects[0].value == object.value);
  fixture.service.Set(
      200,
      json::serialize(json::object{
          {"revision", 12}, {"more", true}, {"objects", {Shown(object)}}}));
  const StoreAnswer list = fixture.Call(ListRequest{"job", "", 0, 1, true});
  REQUIRE(list.revision == 12);
  REQUIRE(list.more);
  REQUIRE(list.objects[0].version == 4);
  fixture.service.Set(200, R"({"vms":[{"name":"v","address":"127.0.0.1:9",)"
                           R"("availability_zone":"bern-a","role":"sidecar",)"
                           R"("target":"m","state":"leaving"}]})");
  const StoreAnswer vms = fixture.Call(VmListRequest{});
  REQUIRE(vms.vms[0].state == VmState::kLeaving);
  REQUIRE(vms.vms[0].availability_zone == "bern-a");
}

TEST_CASE("each refusal has its outcome") {
  Fixture fixture;
  const auto outcome = [&](unsigned status, const std::string& body) {
    fixture.service.Set(status, body, status == 429 ? "3" : "");
    return fixture.Call(WriteRequest{"job", "a", 1, "x"}).outcome;
  };
  REQUIRE(outcome(409, R"({"version":9})") == StoreOutcome::kConflict);
  REQUIRE(fixture.answers.back().version == 9);
  REQUIRE(outcome(429, "") == StoreOutcome::kThrottled);
  REQUIRE(fixture.answers.back().retry_after == std::chrono::seconds(3));
  REQUIRE(outcome(404, "") == StoreOutcome::kNotFound);
  REQUIRE(outcome(503, "") == StoreOutcome::kNotSent);
  REQUIRE(outcome(413, "") == StoreOutcome::kRejected);
  REQUIRE(outcome(500, "") == StoreOutcome::kUnknown);
  REQUIRE(outcome(200, "<html>") == StoreOutcome::kUnknown);
}

// Story: a write reaches the platform, and the connection is cut before the
// answer. The adapter must neither send it again nor call it "not sent".
TEST_CASE("a cut connection leaves the write in doubt") {
  Fixture fixture;
  fixture.service.CutNext();
  REQUIRE(fixture.Call(WriteRequest{"job", "a", 1, "x"}).outcome ==
          StoreOutcome::kUnknown);
  REQUIRE(fixture.service.requests().size() == 1);
}

// Story: one of the platform's servers is gone. Nothing was written to it, so
// the next address is tried; with none left the call is known not to be sent.
TEST_CASE("an address that cannot be reached is passed over") {
  Fixture fixture;
  const std::string closed = "127.0.0.1:1";
  fixture.platform = fixture.MakePlatform({closed, fixture.service.address()});
  fixture.service.Set(200, R"({"version":7})");
  REQUIRE(fixture.Call(WriteRequest{"job", "a", 1, "x"}).outcome ==
          StoreOutcome::kOk);
  fixture.platform = fixture.MakePlatform({closed});
  REQUIRE(fixture.Call(WriteRequest{"job", "a", 1, "x"}).outcome ==
          StoreOutcome::kNotSent);
  fixture.platform = fixture.MakePlatform({});
  REQUIRE(fixture.Call(ReadRequest{"job", "a"}).outcome ==
          StoreOutcome::kNotSent);
}

}  // namespace knapweedstile::platform
