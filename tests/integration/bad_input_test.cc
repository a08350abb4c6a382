// Callers send what no server should have to take: floods, broken JSON, half a
// request and then nothing. Each gets a clear error with the right status, and
// the owners' requests beside them notice nothing.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "harness/completion.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

constexpr char kStrict[] = R"([callers]
max_header_bytes = 4096
max_body_bytes = 65536
header_timeout = 300
body_timeout = 300
)";

// Sends `text` byte for byte and returns what comes until the server closes;
// the load goes on meanwhile.
std::string SendRaw(OnlineLoad& load, const std::string& address,
                    const std::string& text) {
  namespace asio = boost::asio;
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  const size_t colon = address.rfind(':');
  socket.connect({asio::ip::make_address(address.substr(0, colon)),
                  static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
  asio::write(socket, asio::buffer(text));
  socket.non_blocking(true);
  std::string received;
  const bool ended = load.RunUntil([&] {
    char buffer[4096];
    boost::system::error_code ec;
    received.append(buffer, socket.read_some(asio::buffer(buffer), ec));
    return ec && ec != asio::error::would_block;
  });
  return ended ? received : "no end";
}

bool Has(const std::string& text, const char* part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("bad input gets its error and nothing else suffers") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {});
  fleet.AddEntry("entry-1", kStrict);
  REQUIRE(fleet.WaitUntilReady());
  const std::string& entry = fleet.callers("entry-1");
  Ledger ledger;
  OnlineLoad load(fleet.caller(), ledger, fleet.callers(), 3, 10);
  const auto post = [&](const std::string& target, const std::string& body) {
    return fleet.caller().Post(entry, target, body);
  };

  SECTION("over the wire") {
    CHECK(Has(
        SendRaw(load, entry, "GET / HTTP/1.1\r\nX: " + std::string(8000, 'a')),
        " 431 "));
    CHECK(Has(SendRaw(load, entry,
                      "POST /v1/completions HTTP/1.1\r\n"
                      "Content-Length: 1000000\r\n\r\n"),
              " 413 "));
    CHECK(Has(SendRaw(load, entry, "nonsense\r\n\r\n"), " 400 "));
    CHECK(Has(SendRaw(load, entry, "GET / HTTP/1.1\r\nX-Slow: "), " 408 "));
    CHECK(Has(SendRaw(load, entry,
                      "POST /v1/completions HTTP/1.1\r\n"
                      "Content-Length: 100\r\n\r\nhalf"),
              " 408 "));
  }
  SECTION("in the request") {
    const http::EndEvent broken = post("/v1/completions", "{\"model\":");
    CHECK(broken.status == 400);
    CHECK(Has(broken.body, R"("type":"invalid_request_error")"));
    CHECK(Has(broken.body, R"("request_id":")"));
    CHECK(
        post("/v1/chat/completions", R"({"model":"m","messages":7})").status ==
        400);
    const http::EndEvent unknown =
        post("/v1/completions", CompletionBody("nobody", "a", 1, false));
    CHECK(unknown.status == 404);
    CHECK(Has(unknown.body, "error"));
    CHECK(post("/v1/batches", "").status == 400);
    CHECK(fleet.caller().Get(entry, "/v1/batches/nobody").status == 404);
  }
  const size_t answered = ledger.answered();
  REQUIRE(load.RunUntil([&] { return ledger.answered() >= answered + 10; }));
  REQUIRE(load.Finish());
  CHECK(load.failures() == kNone);
  fleet.ReadRunLogs(ledger);
  CHECK(ledger.Faults() == kNone);
}

}  // namespace knapweedstile::harness
