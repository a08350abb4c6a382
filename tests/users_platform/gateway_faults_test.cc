#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <set>

#include "harness/proxy.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using harness::Fault;
using harness::FaultMode;

// Two gateways in front of two model servers and a plain one, with a proxy on
// each connection path.
struct FaultyFleet {
  Site site;
  std::map<std::string, std::unique_ptr<harness::Proxy>> proxies;
  ModelServer* first = nullptr;
  ModelServer* second = nullptr;
  ModelServer* plain = nullptr;

  FaultyFleet() {
    site.interpose = [this](const std::string& who,
                            const std::string& address) {
      auto& proxy = proxies[who];
      if (!proxy) {
        proxy = std::make_unique<harness::Proxy>(site.caller().io(),
                                                 "127.0.0.1:0", address);
      }
      return "127.0.0.1:" + std::to_string(proxy->port());
    };
    first = &site.AddServer("llm", "i-1");
    second = &site.AddServer("llm", "i-2");
    plain = &site.AddServer("app", "i-3");
    site.Configure(2);
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }
  void Strike(const std::string& who, const Fault& fault) {
    proxies.at(who)->Inject(fault);
  }
  unsigned Send(const std::string& gateway, const std::string& method,
                const std::string& target) {
    const std::string id = "r" + std::to_string(++request_count);
    return site.Call(site.OnlineRequest(gateway, method, target, id)).status;
  }
  size_t ModelRuns() const {
    return first->runs().size() + second->runs().size();
  }
  int request_count = 0;
};

constexpr Fault kFreezeOpenConnections{.mode = FaultMode::kFreeze,
                                       .permanent = true};

}  // namespace

// Guards against waiting on an open store connection that a device in between
// has lost track of: both ends keep it open, no bytes pass, and new connections
// work. The next configuration must still come into force.
TEST_CASE("a frozen connection to the store is replaced") {
  FaultyFleet fleet;
  fleet.Strike("store/entry-1", kFreezeOpenConnections);
  fleet.site.extra_routes = {"late"};
  fleet.site.Configure(5);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Send("entry-1", "POST", "/late/1") == 200; }));
  CHECK(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2)).status ==
        202);
}

// Guards against frozen connections to a backend server. Idempotent requests
// are retried and succeed; other requests fail without a second run, and later
// requests succeed.
TEST_CASE("frozen connections to a backend server are replaced") {
  FaultyFleet fleet;
  for (int i = 0; i < 4; ++i) {
    REQUIRE(fleet.Send("entry-1", "GET", "/ping/1") == 200);
  }
  fleet.Strike("server/i-3", kFreezeOpenConnections);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Send("entry-1", "GET", "/ping/1") == 200; }));
  CHECK(fleet.site.caller().RunUntil(
      [&] { return fleet.Send("entry-1", "GET", "/book/1") == 200; }));
  std::set<std::string> ids;
  for (const auto& run : fleet.plain->runs()) {
    if (!run.target.starts_with("/book/")) continue;
    CHECK(ids.insert(run.request_id).second);
  }
}

// Guards against duplicate results when the host pauses a gateway that runs
// items and another gateway takes over the job: the first still holds results
// of its own when it resumes. Both must list each item once, with the same
// result.
TEST_CASE("a gateway that resumes after a pause lists no result twice") {
  FaultyFleet fleet;
  fleet.first->events = fleet.second->events = 40;
  fleet.first->event_interval = fleet.second->event_interval =
      std::chrono::milliseconds(25);
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 6)).status ==
      202);
  REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.ModelRuns() >= 4; }));
  fleet.site.process("entry-1").Pause();
  const auto taken_over = fleet.site.WaitForResults("entry-2", "job-a", 6);
  CHECK(taken_over.at("results").as_array().size() == 6);
  fleet.site.process("entry-1").Resume();
  CHECK(fleet.site.WaitForResults("entry-1", "job-a", 6) == taken_over);
  std::set<std::string> items;
  for (const json::value& result : taken_over.at("results").as_array()) {
    CHECK(items.insert(std::string(result.at("id").as_string())).second);
  }
}

// Guards against running a non-idempotent request twice when its gateway is
// killed. Some of the requests have run and some have not, and callers cannot
// tell which.
TEST_CASE("non-idempotent requests do not run again after a kill") {
  FaultyFleet fleet;
  std::vector<ExchangeId> sent;
  sent.reserve(12);
  for (int i = 0; i < 12; ++i) {
    sent.push_back(fleet.site.caller().Begin(
        fleet.site.OnlineRequest("entry-1", "GET", "/book/" + std::to_string(i),
                                 "b" + std::to_string(i))));
  }
  REQUIRE(fleet.site.caller().RunUntil(
      [&] { return !fleet.plain->runs().empty(); }));
  fleet.site.process("entry-1").Kill();
  for (const ExchangeId exchange : sent) {
    CHECK(fleet.site.caller().RunUntilEnd(exchange));
  }
  fleet.site.caller().RunFor(std::chrono::milliseconds(300));
  std::set<std::string> ids;
  for (const auto& run : fleet.plain->runs()) {
    CHECK(ids.insert(run.request_id).second);
  }
}

// Guards against losing items and resumable streams when a backend server's
// process ends in mid-stream and another instance starts at the same address.
// Items resume at another server after their last event; the caller receives
// the full stream.
TEST_CASE(
    "a server that ends in mid-stream loses no item or resumable stream") {
  FaultyFleet fleet;
  fleet.first->events = fleet.second->events = 30;
  fleet.first->event_interval = fleet.second->event_interval =
      std::chrono::milliseconds(20);
  REQUIRE(
      fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 4)).status ==
      202);
  auto stream = fleet.site.OnlineRequest("entry-2", "POST", "/reply/1", "s1");
  const ExchangeId exchange = fleet.site.caller().Begin(std::move(stream));
  REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.ModelRuns() >= 5; }));
  fleet.site.caller().RunFor(std::chrono::milliseconds(120));
  fleet.site.RestartServer(*fleet.first, "i-9");
  fleet.site.store().Remove("servers", "i-1");
  fleet.site.MarkReady(*fleet.first);
  REQUIRE(fleet.site.caller().RunUntilEnd(exchange));
  const auto& end = *fleet.site.caller().answer(exchange).end;
  CHECK(end.outcome == http::ClientOutcome::kComplete);
  CHECK(end.body.ends_with("id: 30\ndata: word 30\n\n"));
  const auto page = fleet.site.WaitForResults("entry-1", "job-a", 4);
  CHECK(page.at("results").as_array().size() == 4);
  for (const json::value& result : page.at("results").as_array()) {
    CHECK(result.at("state") == "completed");
    CHECK(std::string(result.at("output").as_string()).ends_with("word 30"));
  }
}

// Guards against restarting items from the beginning when their gateway is
// upgraded or killed after seconds of work; with a restart at each upgrade they
// would miss their deadline. The other gateway resumes them after the last
// event that it received in progress updates.
TEST_CASE(
    "items of a terminated gateway resume elsewhere after their last event") {
  for (const bool killed : {false, true}) {
    CAPTURE(killed);
    FaultyFleet fleet;
    fleet.first->events = fleet.second->events = 320;
    fleet.first->event_interval = fleet.second->event_interval =
        std::chrono::milliseconds(25);
    REQUIRE(
        fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 4)).status ==
        202);
    REQUIRE(
        fleet.site.caller().RunUntil([&] { return fleet.ModelRuns() == 4; }));
    fleet.site.caller().RunFor(std::chrono::milliseconds(2500));
    if (killed) {
      fleet.site.process("entry-1").Kill();
    } else {
      fleet.site.process("entry-1").Terminate();
    }
    const auto page = fleet.site.WaitForResults("entry-2", "job-a", 4);
    REQUIRE(page.at("results").as_array().size() == 4);
    for (const json::value& result : page.at("results").as_array()) {
      CHECK(std::string(result.at("output").as_string()).ends_with("word 320"));
    }
    int restarted = 0;
    int resumed = 0;
    for (const ModelServer* server : {fleet.first, fleet.second}) {
      for (const auto& run : server->runs()) {
        ++(run.first_event == 1 ? restarted : resumed);
      }
    }
    CHECK(restarted == 4);
    CHECK(resumed >= 4);
  }
}

// Guards against an item that crashes each server that runs it and, without a
// limit on its runs, takes down every server and all other work there.
TEST_CASE("an item that crashes servers is given up, the others complete") {
  FaultyFleet fleet;
  fleet.first->crash_body = fleet.second->crash_body = "boom";
  auto request = fleet.site.JobRequest("entry-1", "job-a", 6);
  const std::string usual = "aGVsbG8=";
  request.body.replace(request.body.find(usual), usual.size(), "Ym9vbQ==");
  const auto accepted = fleet.site.Call(std::move(request));
  REQUIRE(accepted.status == 202);
  const auto page = fleet.site.WaitForResults("entry-2", "job-a", 5);
  CHECK(page.at("results").as_array().size() == 5);
  fleet.site.caller().RunFor(std::chrono::seconds(2));
  size_t crashes = 0;
  for (const ModelServer* server : {fleet.first, fleet.second}) {
    for (const auto& run : server->runs()) crashes += run.body == "boom";
  }
  CHECK(crashes >= 1);
  CHECK(crashes <= 4);
}

// Guards against malformed input that affects other callers: broken and
// oversized headers, a body over the limit, a header that never ends. Each gets
// its error status.
TEST_CASE("malformed input gets its error status and affects no other caller") {
  FaultyFleet fleet;
  const auto send = [&](const std::string& text) {
    namespace asio = boost::asio;
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    const std::string& address = fleet.site.caller_address("entry-1");
    const size_t colon = address.rfind(':');
    socket.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    asio::write(socket, asio::buffer(text));
    socket.non_blocking(true);
    std::string received;
    fleet.site.caller().RunUntil([&] {
      char buffer[4096];
      boost::system::error_code ec;
      received.append(buffer, socket.read_some(asio::buffer(buffer), ec));
      return ec && ec != asio::error::would_block;
    });
    return received;
  };
  const auto has = [](const std::string& text, const char* part) {
    return text.find(part) != std::string::npos;
  };
  CHECK(has(send("GET / HTTP/1.1\r\nX: " + std::string(8000, 'a')), " 431 "));
  CHECK(has(send("POST /query/1 HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"),
            " 413 "));
  CHECK(has(send("nonsense\r\n\r\n"), " 400 "));
  CHECK(has(send("GET / HTTP/1.1\r\nX-Slow: "), " 408 "));
  CHECK(fleet.Send("entry-1", "POST", "/query/1") == 200);
}

}  // namespace knapweedstile::users_site
