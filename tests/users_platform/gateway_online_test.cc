#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

constexpr char kFiveEvents[] =
    "id: 1\ndata: word 1\n\nid: 2\ndata: word 2\n\nid: 3\ndata: word 3\n\n"
    "id: 4\ndata: word 4\n\nid: 5\ndata: word 5\n\n";

// One gateway in front of two model servers and one plain server.
struct OneGateway {
  Site site;
  ModelServer& first;
  ModelServer& second;
  ModelServer& plain;

  OneGateway()
      : first(site.AddServer("llm", "i-1")),
        second(site.AddServer("llm", "i-2")),
        plain(site.AddServer("app", "i-3")) {
    site.Configure(2);
    site.AddGateway("entry-1");
  }
  size_t Runs() const {
    return first.runs().size() + second.runs().size() + plain.runs().size();
  }
};

// A server that answers each request with these bytes, without a length or
// chunks, and ends the connection.
class UnframedServer {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit UnframedServer(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::string body;
  bool resets = false;  // instead of closing
  int requests = 0;

 private:
  void Accept() {
    acceptor_.async_accept([this](const auto& ec, Socket accepted) {
      if (ec) return;
      auto socket = std::make_shared<Socket>(std::move(accepted));
      auto input = std::make_shared<std::string>();
      boost::asio::async_read_until(
          *socket, boost::asio::dynamic_buffer(*input), "\r\n\r\n",
          [this, socket, input](const auto& read_ec, size_t) {
            if (!read_ec) Answer(*socket, *input);
          });
      Accept();
    });
  }
  void Answer(Socket& socket, const std::string& head) {
    ++requests;
    const size_t at = head.find("Request-Id: ") + 12;
    const std::string id = head.substr(at, head.find('\r', at) - at);
    boost::system::error_code ec;
    // Reads the body, so that closing does not reset the connection.
    std::string rest(1000, ' ');
    socket.non_blocking(true, ec);
    socket.read_some(boost::asio::buffer(rest), ec);
    boost::asio::write(
        socket,
        boost::asio::buffer("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                            "\r\nResponse-Signature: signed\r\n\r\n" + body),
        ec);
    if (resets)
      socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }

  boost::asio::ip::tcp::acceptor acceptor_;
};

// A server that answers each request with a whole stream, but rejects the next
// ones first if asked to. It sends some answers a second time, in the place of
// the next answer on the connection.
class RepeatingServer {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit RepeatingServer(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  int reject_next = 0;           // 503 with Not-Executed
  int repeat_next = 0;           // answers
  int kept = 0;                  // answers to send again so far
  int copies = 0;                // of these, sent again
  std::vector<std::string> ran;  // request ids

  bool HoldsCopy() const { return kept > copies; }

 private:
  struct Connection {
    Socket socket;
    std::string input;
    std::string copy;  // of the answer before, still to be sent
  };

  void Accept() {
    acceptor_.async_accept([this](const auto& ec, Socket accepted) {
      if (ec) return;
      Serve(std::make_shared<Connection>(Connection{std::move(accepted)}));
      Accept();
    });
  }
  void Serve(const std::shared_ptr<Connection>& connection) {
    boost::asio::async_read_until(
        connection->socket, boost::asio::dynamic_buffer(connection->input),
        "\r\n\r\n", [this, connection](const auto& ec, size_t bytes) {
          if (ec) return;
          const std::string head = connection->input.substr(0, bytes);
          connection->input.erase(0, bytes);
          Answer(*connection, head);
          Serve(connection);
        });
  }
  void Answer(Connection& connection, const std::string& head) {
    const size_t at = head.find("Request-Id: ") + 12;
    const std::string id = head.substr(at, head.find('\r', at) - at);
    std::string answer = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n";
    std::string body;
    if (reject_next > 0) {
      --reject_next;
    } else {
      ran.push_back(id);
      body = kFiveEvents;
      answer = "HTTP/1.1 200 OK\r\nResponse-Signature: signed\r\n";
    }
    answer += "Request-Id: " + id +
              "\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body;
    if (!connection.copy.empty()) ++copies;
    boost::system::error_code ec;
    boost::asio::write(connection.socket,
                       boost::asio::buffer(connection.copy + answer), ec);
    connection.copy.clear();
    if (repeat_next == 0) return;
    --repeat_next;
    ++kept;
    connection.copy = std::move(answer);
  }

  boost::asio::ip::tcp::acceptor acceptor_;
};

// One gateway in front of two such servers.
struct RepeatingFleet {
  Site site;
  RepeatingServer first{site.caller().io()};
  RepeatingServer second{site.caller().io()};

  RepeatingFleet() {
    for (const RepeatingServer* server : {&first, &second}) {
      site.store().Put("servers", server == &first ? "i-1" : "i-2",
                       boost::json::object{{"service", "llm"},
                                           {"address", server->address()},
                                           {"zone", "zone-a"},
                                           {"version", "v1"},
                                           {"slots", 8},
                                           {"state", "ready"},
                                           {"sequence", 1}});
    }
    site.Configure(2);
    site.AddGateway("entry-1");
  }
  int Runs(const std::string& request) const {
    return static_cast<int>(
        std::count(first.ran.begin(), first.ran.end(), request) +
        std::count(second.ran.begin(), second.ran.end(), request));
  }
  int Copies() const { return first.copies + second.copies; }
};

// One gateway in front of one such server.
struct UnframedFleet {
  Site site;
  UnframedServer server{site.caller().io()};

  UnframedFleet() {
    site.store().Put("servers", "i-1",
                     boost::json::object{{"service", "llm"},
                                         {"address", server.address()},
                                         {"zone", "zone-a"},
                                         {"version", "v1"},
                                         {"slots", 8},
                                         {"state", "ready"},
                                         {"sequence", 1}});
    site.Configure(2);
    site.AddGateway("entry-1");
  }
  http::EndEvent Call(const std::string& target) {
    return site.Call(site.OnlineRequest("entry-1", "POST", target,
                                        "r" + std::to_string(server.requests)));
  }
};

}  // namespace

// Guards against a request that runs twice, or is rejected as not run although
// it runs, because a server's late copy of a rejection is taken for its answer.
TEST_CASE("a late copy of a rejection is not the answer to the next request") {
  RepeatingFleet fleet;
  for (int i = 0; i < 40; ++i) {
    if (!fleet.first.HoldsCopy()) {
      fleet.first.reject_next = fleet.first.repeat_next = 1;
    }
    const std::string id = "r" + std::to_string(i);
    const auto end = fleet.site.Call(
        fleet.site.OnlineRequest("entry-1", "POST", "/query/1", id));
    CAPTURE(i);
    CHECK(end.status == 200);
    CHECK(end.body == kFiveEvents);
    CHECK(fleet.Runs(id) == 1);
    // Until the server that was full is tried again.
    fleet.site.caller().RunFor(std::chrono::milliseconds(20));
  }
  CHECK(fleet.Copies() > 0);
}

TEST_CASE("a late copy of a stream is not the answer to the next request") {
  RepeatingFleet fleet;
  fleet.first.repeat_next = fleet.second.repeat_next = 100;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto end = fleet.site.Call(
        fleet.site.OnlineRequest("entry-1", "POST", "/query/1", id));
    CHECK(end.status == 200);
    CHECK(fleet.Runs(id) == 1);
  }
  CHECK(fleet.Copies() > 0);
}

TEST_CASE("late copies of a server's responses run no item twice") {
  RepeatingFleet fleet;
  constexpr int kItems = 12;
  fleet.first.reject_next = 2;
  fleet.first.repeat_next = fleet.second.repeat_next = 100;
  REQUIRE(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", kItems))
              .status == 202);
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", kItems);
  CHECK(page.at("results").as_array().size() == kItems);
  CHECK(fleet.first.ran.size() + fleet.second.ran.size() == kItems);
  CHECK(fleet.Copies() > 0);
}

TEST_CASE("a stream without a length that ends after an event is complete") {
  UnframedFleet fleet;
  fleet.server.body = kFiveEvents;
  const auto end = fleet.Call("/query/1");
  CHECK(end.outcome == http::ClientOutcome::kComplete);
  CHECK(end.body == kFiveEvents);
}

// Guards against a stream that looks complete although its server broke it off.
TEST_CASE("a stream without a length that ends in an event is broken off") {
  UnframedFleet fleet;
  for (const bool resets : {false, true}) {
    for (const std::string& body :
         {std::string("id: 1\ndata: word 1\n\nid: 2\nda"), std::string("id"),
          std::string()}) {
      CAPTURE(body, resets);
      fleet.server.body = body;
      fleet.server.resets = resets;
      CHECK(fleet.Call("/query/1").outcome != http::ClientOutcome::kComplete);
    }
  }
}

// Guards against an item that is listed as completed without its output.
TEST_CASE("an item whose stream ends before its first event is not completed") {
  UnframedFleet fleet;
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 1)).status ==
      202);
  REQUIRE(
      fleet.site.caller().RunUntil([&] { return fleet.server.requests > 0; }));
  fleet.site.caller().RunFor(std::chrono::milliseconds(100));
  fleet.server.body = kFiveEvents;
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", 1);
  REQUIRE(page.at("results").as_array().size() == 1);
  CHECK(page.at("results").as_array()[0].at("output") ==
        "word 1\nword 2\nword 3\nword 4\nword 5");
}

TEST_CASE("a stream arrives complete, and the request is forwarded unchanged") {
  OneGateway fleet;
  const auto end = fleet.site.Call(
      fleet.site.OnlineRequest("entry-1", "POST", "/query/7?a=b", "r1"));
  CHECK(end.status == 200);
  CHECK(end.body == kFiveEvents);
  CHECK(end.headers.Find("Request-Id") == "r1");
  CHECK_FALSE(end.headers.Find("Response-Signature").empty());
  REQUIRE(fleet.Runs() == 1);
  const auto& run = fleet.first.runs().empty() ? fleet.second.runs().front()
                                               : fleet.first.runs().front();
  CHECK(run.target == "/query/7?a=b");
  CHECK(run.body == "prompt of r1");
  CHECK(run.headers.Find("Model") == "m");
  CHECK(std::stoi(std::string(run.headers.Find("Request-Deadline"))) <= 3000);
}

TEST_CASE("unknown routes get 404, and 503 before the first configuration") {
  Site site;
  site.AddServer("llm", "i-1");
  site.StartGateway("entry-1");
  CHECK(site.caller().RunUntil([&] {
    return site.Call(site.OnlineRequest("entry-1", "POST", "/query/1", "r1"))
               .status == 503;
  }));
  CHECK_FALSE(site.Ready("entry-1"));
  site.Configure(3);
  CHECK(site.caller().RunUntil([&] { return site.Ready("entry-1"); }));
  CHECK(site.Call(site.OnlineRequest("entry-1", "POST", "/nowhere/1", "r2"))
            .status == 404);
  CHECK(site.Call(site.OnlineRequest("entry-1", "POST", "/query/1", "r3"))
            .status == 200);
}

// Guards against rejecting a request that a full server did not run: it is
// retried at another server.
TEST_CASE("a request that a server did not run is retried at another") {
  OneGateway fleet;
  fleet.first.reject_next = 1;
  fleet.second.reject_next = 1;
  for (int i = 0; i < 4; ++i) {
    const auto end = fleet.site.Call(fleet.site.OnlineRequest(
        "entry-1", "POST", "/query/1", "r" + std::to_string(i)));
    CHECK((end.status == 200 || end.status == 503));
    if (end.status == 503) {
      CHECK_FALSE(end.headers.Find("Retry-After").empty());
    }
  }
}

// Guards against running a request on the wrong service when the address of a
// terminated server has been reused by a server of another service.
TEST_CASE("a server at a reused address does not run the request") {
  OneGateway fleet;
  fleet.first.address_reused = true;
  for (int i = 0; i < 6; ++i) {
    const auto end = fleet.site.Call(fleet.site.OnlineRequest(
        "entry-1", "POST", "/query/1", "r" + std::to_string(i)));
    CHECK(end.status == 200);
  }
  CHECK(fleet.first.runs().empty());
}

// Guards against missing or repeated events when a server aborts a resumable
// stream in the middle of an event.
TEST_CASE("a resumable stream resumes at another server") {
  OneGateway fleet;
  fleet.first.break_after = 2;
  fleet.second.break_after = 2;
  const auto end = fleet.site.Call(
      fleet.site.OnlineRequest("entry-1", "POST", "/reply/1", "r1"));
  // If the second server is tried first, it aborts the stream too, and one
  // attempt is left after its events.
  if (end.outcome == http::ClientOutcome::kComplete) {
    CHECK(end.body == kFiveEvents);
  }
  REQUIRE(fleet.Runs() == 2);
}

TEST_CASE("a broken stream that is not resumable is not reported as complete") {
  OneGateway fleet;
  fleet.site.RemoveServer(fleet.second);
  fleet.site.caller().RunFor(std::chrono::milliseconds(200));
  fleet.first.break_after = 2;
  const auto broken = fleet.site.Call(
      fleet.site.OnlineRequest("entry-1", "POST", "/query/1", "r0"));
  // The route is not resumable, so the response must not look complete.
  CHECK(broken.outcome != http::ClientOutcome::kComplete);
  CHECK(fleet.Runs() == 1);
}

// Guards against retrying a non-idempotent request, or reporting it as not run,
// when its response is invalid: the request may have run.
TEST_CASE("a non-idempotent request that may have run is not retried") {
  OneGateway fleet;
  fleet.plain.wrong_id_next = 1;
  const auto end = fleet.site.Call(
      fleet.site.OnlineRequest("entry-1", "GET", "/book/1", "r1"));
  CHECK(end.status == 502);
  CHECK(fleet.plain.runs().size() == 1);
}

TEST_CASE(
    "a response without signature or to another request is not forwarded") {
  OneGateway fleet;
  ModelServer& other = fleet.site.AddServer("app", "i-4");
  fleet.site.caller().RunFor(std::chrono::milliseconds(200));
  fleet.plain.wrong_id_next = 1;
  other.unsigned_next = 1;
  for (int i = 0; i < 3; ++i) {
    const auto end = fleet.site.Call(fleet.site.OnlineRequest(
        "entry-1", "GET", "/ping/1", "r" + std::to_string(i)));
    if (end.status == 200) CHECK(end.body == "plain answer");
    CHECK((end.status == 200 || end.status == 502));
  }
}

TEST_CASE("an error response of a server is forwarded unchanged") {
  OneGateway fleet;
  fleet.plain.fail_next = 1;
  const auto end = fleet.site.Call(
      fleet.site.OnlineRequest("entry-1", "GET", "/book/1", "r1"));
  CHECK(end.status == 500);
  CHECK_FALSE(end.headers.Find("Response-Signature").empty());
  CHECK(fleet.plain.runs().size() == 1);
}

// Guards against servers that keep working after the caller has disconnected in
// mid-stream.
TEST_CASE("a request is cancelled when its caller disconnects") {
  OneGateway fleet;
  fleet.first.events = 10000;
  fleet.second.events = 10000;
  auto& caller = fleet.site.caller();
  auto request = fleet.site.OnlineRequest("entry-1", "POST", "/query/1", "r1");
  request.stream_body = true;
  const ExchangeId exchange = caller.Begin(std::move(request));
  REQUIRE(caller.RunUntil(
      [&] { return !caller.answer(exchange).streamed.empty(); }));
  caller.Cancel(exchange);
  CHECK(caller.RunUntil([&] {
    const auto& runs =
        fleet.first.runs().empty() ? fleet.second.runs() : fleet.first.runs();
    return runs.front().cancelled;
  }));
}

// Guards against a caller that waits longer than the route's timeout when no
// server responds.
TEST_CASE("a request that exceeds the timeout of its route gets 504") {
  OneGateway fleet;
  fleet.first.first_byte_delay = std::chrono::seconds(60);
  fleet.second.first_byte_delay = std::chrono::seconds(60);
  const auto end = fleet.site.Call(
      fleet.site.OnlineRequest("entry-1", "POST", "/query/1", "r1", 20000));
  CHECK(end.status == 504);
}

TEST_CASE("a draining server gets no new requests") {
  OneGateway fleet;
  fleet.site.MarkDraining(fleet.first);
  fleet.site.caller().RunFor(std::chrono::milliseconds(300));
  for (int i = 0; i < 8; ++i) {
    CHECK(fleet.site
              .Call(fleet.site.OnlineRequest("entry-1", "POST", "/query/1",
                                             "r" + std::to_string(i)))
              .status == 200);
  }
  CHECK(fleet.first.runs().empty());
}

// Guards against missing a change when watches receive nothing while a server
// starts to drain and the store then drops its history: only a new list shows
// the change.
TEST_CASE("a change that watches missed is found by a new list") {
  OneGateway fleet;
  fleet.site.store().SuspendWatches();
  fleet.site.MarkDraining(fleet.first);
  fleet.site.Configure(9);
  fleet.site.store().DropHistory();
  fleet.site.caller().RunFor(std::chrono::milliseconds(500));
  for (int i = 0; i < 6; ++i) {
    fleet.site.Call(fleet.site.OnlineRequest("entry-1", "POST", "/query/1",
                                             "r" + std::to_string(i)));
  }
  CHECK(fleet.first.runs().empty());
  CHECK(fleet.site.Metrics("entry-1").find("knap_configuration_version 9") !=
        std::string::npos);
}

// Guards against failing requests after a store outage: registrations of live
// servers expire in the outage and are renewed within two seconds after it.
TEST_CASE("servers whose registrations expired in an outage are still used") {
  OneGateway fleet;
  fleet.site.store().SetHealth(ObjectStore::Health::kUnavailable);
  fleet.site.caller().RunFor(std::chrono::milliseconds(1500));
  fleet.site.RemoveServer(fleet.first);
  fleet.site.RemoveServer(fleet.second);
  fleet.site.store().SetHealth(ObjectStore::Health::kHealthy);
  fleet.site.caller().RunFor(std::chrono::milliseconds(1000));
  CHECK(fleet.site
            .Call(fleet.site.OnlineRequest("entry-1", "POST", "/query/1", "r1"))
            .status == 200);
  fleet.site.caller().RunFor(std::chrono::milliseconds(2500));
  CHECK(fleet.site
            .Call(fleet.site.OnlineRequest("entry-1", "POST", "/query/1", "r2"))
            .status == 503);
}

// Guards against waiting for a store call that was made while the store did not
// respond and never gets a response: the gateway would keep the old
// configuration after the store has recovered.
TEST_CASE(
    "a configuration written as the store recovers takes effect in time") {
  OneGateway fleet;
  fleet.site.store().SetHealth(ObjectStore::Health::kUnresponsive);
  fleet.site.caller().RunFor(std::chrono::milliseconds(5500));
  fleet.site.store().SetHealth(ObjectStore::Health::kHealthy);
  fleet.site.Configure(9);
  fleet.site.caller().RunFor(std::chrono::milliseconds(1700));
  CHECK(fleet.site.Metrics("entry-1").find("knap_configuration_version 9") !=
        std::string::npos);
}

// Guards against cutting a running stream at a planned stop. The gateway
// reports at once that it is not ready for new callers and finishes the stream.
TEST_CASE("a planned stop completes running requests") {
  OneGateway fleet;
  fleet.first.events = 200;
  fleet.second.events = 200;
  fleet.first.event_interval = std::chrono::milliseconds(5);
  fleet.second.event_interval = std::chrono::milliseconds(5);
  auto& caller = fleet.site.caller();
  const ExchangeId exchange = caller.Begin(
      fleet.site.OnlineRequest("entry-1", "POST", "/query/1", "r1"));
  REQUIRE(caller.RunUntil([&] { return fleet.Runs() == 1; }));
  fleet.site.process("entry-1").Terminate();
  CHECK(caller.RunUntil([&] { return !fleet.site.Ready("entry-1"); }));
  // Callers that have not seen the readiness change are still served.
  CHECK(fleet.site
            .Call(fleet.site.OnlineRequest("entry-1", "GET", "/ping/1", "r2"))
            .status == 200);
  REQUIRE(caller.RunUntilEnd(exchange));
  CHECK(caller.answer(exchange).end->outcome == http::ClientOutcome::kComplete);
  CHECK(caller.RunUntil(
      [&] { return !fleet.site.process("entry-1").running(); }));
  CHECK(fleet.site.process("entry-1").exit_code() == 0);
}

// Guards against requests that come late in the grace of a planned stop and are
// cut at its end with no answer.
TEST_CASE("requests in progress at the end of a planned stop are answered") {
  OneGateway fleet;
  for (ModelServer* server : {&fleet.first, &fleet.second, &fleet.plain}) {
    server->first_byte_delay = std::chrono::seconds(60);
  }
  auto& caller = fleet.site.caller();
  fleet.site.process("entry-1").Terminate();
  caller.RunFor(std::chrono::milliseconds(2500));
  std::vector<ExchangeId> calls;
  for (int i = 0; i < 4; ++i) {
    const std::string id = std::to_string(i);
    calls.push_back(caller.Begin(
        fleet.site.OnlineRequest("entry-1", "POST", "/book/" + id, "b" + id)));
    calls.push_back(caller.Begin(
        fleet.site.OnlineRequest("entry-1", "POST", "/query/" + id, "q" + id)));
  }
  REQUIRE(caller.RunUntil([&] { return fleet.Runs() == calls.size(); }));
  for (const ExchangeId call : calls) {
    REQUIRE(caller.RunUntilEnd(call));
    const auto& end = *caller.answer(call).end;
    CHECK(end.outcome == http::ClientOutcome::kComplete);
    CHECK(end.status == 504);
    CHECK(end.headers.Find("Not-Executed").empty());
  }
  CHECK(caller.RunUntil(
      [&] { return !fleet.site.process("entry-1").running(); }));
  CHECK(fleet.site.process("entry-1").exit_code() == 0);
}

// Guards against reverting to an older version that operators write again by
// mistake.
TEST_CASE("an older configuration is not applied") {
  OneGateway fleet;
  fleet.site.Configure(8);
  fleet.site.caller().RunFor(std::chrono::milliseconds(200));
  fleet.site.Configure(4);
  fleet.site.caller().RunFor(std::chrono::milliseconds(300));
  CHECK(fleet.site.Metrics("entry-1").find("knap_configuration_version 8") !=
        std::string::npos);
}

// Guards against a request that crashes each server that runs it, while its
// caller retries it under new ids. No server may get it after the third crash.
TEST_CASE("a request that crashes servers is rejected") {
  OneGateway fleet;
  fleet.site.AddGateway("entry-2");
  fleet.plain.crash_body = "poison";
  for (int i = 0; i < 8; ++i) {
    auto request =
        fleet.site.OnlineRequest(i % 2 == 0 ? "entry-1" : "entry-2", "POST",
                                 "/book/1", "r" + std::to_string(i));
    request.body = "poison";
    const auto end = fleet.site.Call(std::move(request));
    CHECK(end.status / 100 == 5);
    fleet.site.caller().RunFor(std::chrono::milliseconds(400));
  }
  CHECK(fleet.plain.runs().size() == 3);
  CHECK(fleet.site
            .Call(fleet.site.OnlineRequest("entry-1", "GET", "/book/1", "ok"))
            .status == 200);
}

TEST_CASE("the evacuation of a store VM is reported as completed") {
  Site site;
  site.StartStore("store-1");
  site.store().Put("retirements", "store-1",
                   boost::json::object{{"duration_s", 10}});
  CHECK(site.caller().RunUntil([&] {
    const auto status = site.store().Status("retirements", "store-1");
    return status.is_object() && status.at("state") == "completed";
  }));
}

}  // namespace knapweedstile::users_site
