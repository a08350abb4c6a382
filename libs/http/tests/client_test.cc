#include <catch2/catch.hpp>

#include "loopback.h"

namespace knapweedstile::http {
namespace {

using boost::asio::io_context;
using std::chrono::milliseconds;

ClientRequest RequestTo(const std::string& address, uint64_t exchange) {
  return ClientRequest{.exchange = ExchangeId(exchange), .address = address};
}

ClientRequest IdentifiedRequest(const std::string& address, uint64_t exchange) {
  ClientRequest request = RequestTo(address, exchange);
  request.headers.Add("Request-Id", "r" + std::to_string(exchange));
  request.echoed_field = "Request-Id";
  return request;
}

std::string Answer(unsigned status, const std::string& id,
                   const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string ChunkedAnswer(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n";
}

}  // namespace

// Guards against a late copy of a response that is taken for the response to
// the next request on the connection.
TEST_CASE("a response with the id of another request is skipped") {
  for (const bool streamed : {false, true}) {
    for (const std::string& copy :
         {Answer(503, "r1", ""), Answer(200, "r1", "old"), ChunkedAnswer("r1"),
          Answer(500, "r1", "a") + ChunkedAnswer("r0")}) {
      CAPTURE(streamed, copy);
      io_context io;
      ScriptedServer server(io);
      server.answers = {Answer(200, "r1", "one"),
                        copy + Answer(200, "r2", "two")};
      TestClient client(io);
      for (uint64_t i = 1; i <= 2; ++i) {
        ClientRequest request = IdentifiedRequest(server.address(), i);
        request.stream_body = streamed;
        client.client.Send(std::move(request));
        REQUIRE(RunUntil(io, [&] { return client.ends.size() == i; }));
      }
      CHECK(server.connections == 1);
      CHECK(client.ends[0].skipped_responses == 0);
      CHECK(client.ends[1].outcome == ClientOutcome::kComplete);
      CHECK(client.ends[1].status == 200);
      CHECK(client.ends[1].skipped_responses > 0);
      CHECK((streamed ? client.streamed : client.ends[1].body) ==
            (streamed ? "onetwo" : "two"));
      CHECK(client.heads.size() == (streamed ? 2 : 0));
    }
  }
}

// Guards against a connection on which each response is that of the request
// before.
TEST_CASE("a connection with a response of unknown origin is not reused") {
  io_context io;
  ScriptedServer server(io);
  server.answers = {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
                    Answer(200, "r2", "two"),
                    Answer(200, "r1", "") + Answer(200, "r3", "three"),
                    Answer(200, "r4", "four")};
  TestClient client(io);
  for (uint64_t i = 1; i <= 4; ++i) {
    client.client.Send(IdentifiedRequest(server.address(), i));
    REQUIRE(RunUntil(io, [&] { return client.ends.size() == i; }));
    CHECK(client.ends.back().outcome == ClientOutcome::kComplete);
  }
  CHECK(client.ends[2].body == "three");
  // Requests 2 and 3 share a connection.
  CHECK(server.connections == 3);
}

// Guards against a late copy of a response that is taken for the response to
// the same request when it is sent again.
TEST_CASE("a request that is sent again uses another connection") {
  io_context io;
  ScriptedServer server(io);
  server.answers = {Answer(503, "r1", ""), Answer(200, "r1", "one")};
  TestClient client(io);
  for (uint64_t i = 1; i <= 2; ++i) {
    client.client.Send(IdentifiedRequest(server.address(), 1));
    REQUIRE(RunUntil(io, [&] { return client.ends.size() == i; }));
  }
  CHECK(client.ends[1].status == 200);
  CHECK(server.connections == 2);
}

TEST_CASE("a skipped response is not reported as that of a lost request") {
  io_context io;
  ScriptedServer server(io);
  server.answers = {Answer(503, "r0", ""),
                    "HTTP/1.1 503 X\r\nRequest-Id: r0\r\n\r\nno length"};
  TestClient client(io);
  ClientRequest request = IdentifiedRequest(server.address(), 1);
  request.deadline = MonotonicNow() + milliseconds(100);
  client.client.Send(std::move(request));
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
  CHECK(client.ends[0].outcome == ClientOutcome::kDeadline);
  CHECK(client.ends[0].status == 0);
  client.client.Send(IdentifiedRequest(server.address(), 2));
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 2; }));
  CHECK(client.ends[1].outcome == ClientOutcome::kLost);
  CHECK(client.ends[1].status == 0);
}

// Guards against bytes without end from a server in trouble, which fill the
// memory of the client until the deadline of the request.
TEST_CASE("a response without end is invalid and closes its connection") {
  constexpr uint64_t kMaxReadBytes = 16 << 20;
  constexpr std::chrono::seconds kDeadline{5};
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string fill(1000, 'a');
  struct Case {
    const char* name;
    std::string start;
    std::string unit;
  };
  const std::vector<Case> cases = {
      {"first line", "", "a"},
      {"status line", "HTTP/1.1 200 ", "OK"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X-Fill: a\r\n"},
      {"one field", "HTTP/1.1 200 OK\r\nX-Fill: ", "a"},
      {"body to the end of the connection",
       "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n", "a"},
      {"body in chunks", chunked, "3e8\r\n" + fill + "\r\n"},
      {"body with a length",
       "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
       "Content-Length: 900000000000\r\n\r\n",
       "a"},
      {"error body",
       "HTTP/1.1 500 X\r\nRequest-Id: r1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       "3e8\r\n" + fill + "\r\n"},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "1;a=", "a"},
      {"chunks with extensions", chunked, "1;a=" + fill + "\r\na\r\n"},
      {"trailer fields", chunked + "0\r\n", "X-Fill: a\r\n"},
      {"one trailer field", chunked + "0\r\nX-Fill: ", "a"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to another request", "", Answer(200, "r0", "old")},
      {"large responses to another request", "", Answer(200, "r0", fill)},
      {"a response to another request",
       "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       "3e8\r\n" + fill + "\r\n"}};
  for (const Case& c : cases) {
    for (const bool streamed : {false, true}) {
      CAPTURE(c.name, streamed);
      io_context io;
      EndlessServer server(io, c.start, c.unit);
      ClientSettings settings;
      settings.max_response_bytes = 4 << 20;
      settings.max_stream_bytes = 4 << 20;
      TestClient client(io, settings);
      ClientRequest request = IdentifiedRequest(server.address(), 1);
      request.stream_body = streamed;
      request.deadline = MonotonicNow() + kDeadline;
      client.client.Send(std::move(request));
      REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
      CHECK(NameOf(client.ends[0].outcome) == "invalid");
      CHECK(client.ends[0].body.empty());
      CHECK(RunUntil(io, [&] {
        return server.closed == 1 || server.sent_bytes > kMaxReadBytes;
      }));
      CHECK(server.sent_bytes <= kMaxReadBytes);
    }
  }
}

// Guards against many responses without end at the same time, each of which is
// within the limit of one.
TEST_CASE("responses share a limit on buffered bytes") {
  constexpr uint64_t kRequests = 40;
  constexpr uint64_t kMaxReadBytes = 64 << 20;
  io_context io;
  EndlessServer endless(io, "HTTP/1.1 200 OK\r\n\r\n", "a");
  TestServer sound(io);
  ClientSettings settings;
  settings.max_response_bytes = 16 << 20;
  settings.max_buffered_bytes = 8 << 20;
  TestClient client(io, settings);
  client.client.Send(RequestTo(sound.address, kRequests + 1));
  REQUIRE(RunUntil(io, [&] { return sound.requests.size() == 1; }));
  for (uint64_t i = 1; i <= kRequests; ++i) {
    ClientRequest request = RequestTo(endless.address(), i);
    request.deadline = MonotonicNow() + std::chrono::seconds(5);
    client.client.Send(std::move(request));
  }
  const std::string large(4 << 20, 'x');
  sound.Respond(sound.requests[0].exchange, large);
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == kRequests + 1; }));
  size_t invalid = 0;
  for (const EndEvent& end : client.ends) {
    invalid += NameOf(end.outcome) == "invalid";
  }
  CHECK(invalid >= kRequests);
  CHECK(endless.sent_bytes <= kMaxReadBytes);
  // The bytes of ended responses do not count.
  sound.on_request = [&](const RequestEvent& r) {
    sound.Respond(r.exchange, large);
  };
  client.client.Send(RequestTo(sound.address, kRequests + 2));
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == kRequests + 2; }));
  CHECK(client.ends.back().outcome == ClientOutcome::kComplete);
  CHECK(client.ends.back().body == large);
}

// Guards against limits that end proper responses.
TEST_CASE("large responses within the limits are complete") {
  const std::string body(8 << 20, 'x');
  std::string bytes = "HTTP/1.1 100 Continue\r\n\r\n" + Answer(200, "r0", body);
  bytes += "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX-Fill: " +
           std::string(30000, 'a') + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string token = "1\r\nx\r\n";
  constexpr size_t kTokens = 1 << 20;
  for (size_t i = 0; i < kTokens; ++i) bytes += token;
  bytes += "0\r\nX-Trailer: " + std::string(30000, 'a') + "\r\n\r\n";
  for (const bool streamed : {false, true}) {
    CAPTURE(streamed);
    io_context io;
    EndlessServer server(io, bytes, "a");
    TestClient client(io);
    ClientRequest request = IdentifiedRequest(server.address(), 1);
    request.stream_body = streamed;
    client.client.Send(std::move(request));
    REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
    CHECK(client.ends[0].outcome == ClientOutcome::kComplete);
    const std::string& received =
        streamed ? client.streamed : client.ends[0].body;
    CHECK(received == std::string(kTokens, 'x'));
  }
}

TEST_CASE("a connection is reused after a complete response") {
  io_context io;
  TestServer server(io);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, r.method + r.body);
  };
  TestClient client(io);
  for (uint64_t i = 1; i <= 3; ++i) {
    ClientRequest request = RequestTo(server.address, i);
    request.method = "POST";
    request.body = std::string(200000, 'x');
    client.client.Send(std::move(request));
    REQUIRE(RunUntil(io, [&] { return client.ends.size() == i; }));
    CHECK(client.ends.back().outcome == ClientOutcome::kComplete);
    CHECK(client.ends.back().status == 200);
    CHECK(client.ends.back().body.size() == 200004);
  }
  CHECK(server.server.open_connections() == 1);
  client.client.Close();
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 0; }));
}

TEST_CASE("a streamed response is delivered chunk by chunk") {
  io_context io;
  TestServer server(io);
  TestClient client(io);
  ClientRequest request = RequestTo(server.address, 1);
  request.stream_body = true;
  client.client.Send(std::move(request));
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  const ExchangeId exchange = server.requests[0].exchange;
  server.server.Execute(BeginStreamCommand{.exchange = exchange});
  server.server.Execute(
      StreamChunkCommand{.exchange = exchange, .data = "one "});
  REQUIRE(RunUntil(io, [&] { return client.streamed == "one "; }));
  CHECK(client.heads.size() == 1);
  CHECK(client.ends.empty());
  server.server.Execute(
      StreamChunkCommand{.exchange = exchange, .data = "two", .last = true});
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
  CHECK(client.streamed == "one two");
  CHECK(client.ends[0].outcome == ClientOutcome::kComplete);
}

TEST_CASE("unreachable or invalid addresses and targets end as not sent") {
  io_context io;
  std::string closed_address;
  {
    TestServer closed(io);
    closed_address = closed.address;
  }
  TestClient client(io);
  client.client.Send(RequestTo(closed_address, 1));
  client.client.Send(RequestTo("nowhere", 2));
  ClientRequest split = RequestTo(closed_address, 3);
  split.target = "/a\r\nX: y";
  client.client.Send(std::move(split));
  CHECK(client.ends.empty());
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 3; }));
  for (const EndEvent& end : client.ends) {
    const bool unsendable = end.exchange == ExchangeId(3);
    CHECK(end.outcome ==
          (unsendable ? ClientOutcome::kUnsendable : ClientOutcome::kNotSent));
    CHECK_FALSE(end.message.empty());
  }
}

TEST_CASE("a connection closed before the full response ends as lost") {
  // Guards against running a request twice: the backend server terminates after
  // it has received the request, which may have run, so the outcome must not be
  // kNotSent.
  io_context io;
  TestServer server(io);
  TestClient client(io);
  client.client.Send(RequestTo(server.address, 1));
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.server.Execute(AbortCommand{server.requests[0].exchange});
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
  CHECK(client.ends[0].outcome == ClientOutcome::kLost);
  CHECK(client.ends[0].status == 0);

  client.client.Send(RequestTo(server.address, 2));
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 2; }));
  const ExchangeId exchange = server.requests[1].exchange;
  server.server.Execute(BeginStreamCommand{.exchange = exchange});
  server.server.Execute(
      StreamChunkCommand{.exchange = exchange, .data = "part"});
  server.server.Execute(AbortCommand{exchange});
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 2; }));
  CHECK(client.ends[1].outcome == ClientOutcome::kLost);
  CHECK(client.ends[1].body.empty());
}

TEST_CASE("a deadline that passes after sending ends as kDeadline") {
  io_context io;
  TestServer server(io);
  TestClient client(io);
  ClientRequest request = RequestTo(server.address, 1);
  request.deadline = MonotonicNow() + milliseconds(100);
  client.client.Send(std::move(request));
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
  CHECK(client.ends[0].outcome == ClientOutcome::kDeadline);
  REQUIRE(RunUntil(io, [&] { return server.disconnects.size() == 1; }));
}

TEST_CASE("a cancelled exchange closes its connection without an event") {
  io_context io;
  TestServer server(io);
  TestClient client(io);
  client.client.Send(RequestTo(server.address, 1));
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  client.client.Cancel(ExchangeId(1));
  REQUIRE(RunUntil(io, [&] { return server.disconnects.size() == 1; }));
  CHECK(client.ends.empty());
}

TEST_CASE("a pooled connection that the server closed is not reused") {
  io_context io;
  auto first = std::make_unique<TestServer>(io);
  first->on_request = [&](const RequestEvent& r) {
    first->Respond(r.exchange, "ok");
  };
  TestClient client(io);
  client.client.Send(RequestTo(first->address, 1));
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
  const std::string address = first->address;
  first.reset();
  // The io_context does not run in between, so only Send() can detect the
  // close.
  client.client.Send(RequestTo(address, 2));
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 2; }));
  CHECK(client.ends[1].outcome == ClientOutcome::kNotSent);
}

TEST_CASE("a response that arrives while the request is sent is delivered") {
  // Guards against hiding a 413: the server rejects a large body by its header
  // and stops reading. The caller must get this response and not a write error.
  io_context io;
  ServerSettings settings;
  settings.max_body_bytes = 1000;
  TestServer server(io, settings);
  TestClient client(io);
  ClientRequest request = RequestTo(server.address, 1);
  request.method = "PUT";
  request.body = std::string(20 << 20, 'x');
  client.client.Send(std::move(request));
  REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
  CHECK(client.ends[0].outcome == ClientOutcome::kComplete);
  CHECK(client.ends[0].status == 413);
}

TEST_CASE("a connection is reused after responses without a body") {
  io_context io;
  TestServer server(io);
  server.on_request = [&](const RequestEvent& r) {
    server.server.Execute(
        RespondCommand{.exchange = r.exchange,
                       .status = r.method == "HEAD" ? 200u : 204u,
                       .body = "text"});
  };
  TestClient client(io);
  for (uint64_t i = 1; i <= 4; ++i) {
    ClientRequest request = RequestTo(server.address, i);
    request.method = i % 2 == 0 ? "HEAD" : "GET";
    client.client.Send(std::move(request));
    REQUIRE(RunUntil(io, [&] { return client.ends.size() == i; }));
    CHECK(client.ends.back().outcome == ClientOutcome::kComplete);
    CHECK(client.ends.back().body.empty());
  }
  CHECK(server.server.open_connections() == 1);
}

}  // namespace knapweedstile::http
