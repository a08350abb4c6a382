#include <catch2/catch.hpp>

#include "loopback.h"

namespace knapweedstile::http {
namespace {

using boost::asio::io_context;
using std::chrono::milliseconds;

constexpr char kGet[] = "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Key: v\r\n\r\n";

}  // namespace

TEST_CASE("a connection is kept open after a complete exchange") {
  io_context io;
  TestServer server(io);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, r.method + r.target + r.body);
  };
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return caller.Received("GET/a?b=c"); }));
  CHECK(caller.Received("HTTP/1.1 200 OK\r\n"));
  CHECK(caller.Received("Content-Length: 9\r\n"));
  CHECK(server.requests[0].headers.Find("x-kEY") == "v");
  caller.Send("POST /p HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 1; }));
  caller.Send("cd");
  REQUIRE(RunUntil(io, [&] { return caller.Received("POST/pabcd"); }));
  CHECK(server.server.open_exchanges() == 0);
  CHECK(server.server.open_connections() == 1);
}

TEST_CASE("a streamed response uses chunked encoding") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  const ExchangeId exchange = server.requests[0].exchange;
  HeaderList headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("X-Bad", "a\r\nX-Injected: 1");
  server.server.Execute(
      BeginStreamCommand{.exchange = exchange, .headers = headers});
  server.server.Execute(
      StreamChunkCommand{.exchange = exchange, .data = "data: 1\n\n"});
  REQUIRE(
      RunUntil(io, [&] { return caller.Received("9\r\ndata: 1\n\n\r\n"); }));
  CHECK(caller.Received("Transfer-Encoding: chunked"));
  CHECK_FALSE(caller.Received("X-Injected"));
  CHECK(server.server.open_exchanges() == 1);
  server.server.Execute(StreamChunkCommand{.exchange = exchange, .last = true});
  REQUIRE(RunUntil(io, [&] { return caller.Received("0\r\n\r\n"); }));
  CHECK(server.server.open_exchanges() == 0);
}

TEST_CASE(
    "a caller's disconnect causes an event before and during a response") {
  // Guards against wasted work: the caller disconnects while its response is
  // being generated, and without the event the engine would continue.
  io_context io;
  TestServer server(io);
  RawCaller pending(io, server.port);
  RawCaller streaming(io, server.port);
  pending.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  streaming.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 2; }));
  server.server.Execute(
      BeginStreamCommand{.exchange = server.requests[1].exchange});
  pending.Close();
  streaming.Close();
  REQUIRE(RunUntil(io, [&] { return server.disconnects.size() == 2; }));
  CHECK(server.server.open_exchanges() == 0);
  // A late response has no effect.
  server.Respond(server.requests[0].exchange, "late");
}

TEST_CASE("a disconnect event is delivered again until the sink accepts it") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.reject_events = true;
  caller.Close();
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 0; }));
  server.reject_events = false;
  REQUIRE(RunUntil(io, [&] { return server.disconnects.size() == 1; }));
}

TEST_CASE("a header or body that arrives too slowly gets 408") {
  io_context io;
  ServerSettings settings;
  settings.header_timeout = settings.body_timeout = milliseconds(100);
  TestServer server(io, settings);
  RawCaller header(io, server.port);
  RawCaller body(io, server.port);
  header.Send("GET / HT");
  body.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  REQUIRE(RunUntil(io, [&] { return header.Ended() && body.Ended(); }));
  CHECK(header.Received("408"));
  CHECK(body.Received("request_timeout"));
  CHECK(server.requests.empty());
}

TEST_CASE("large headers get 431, large bodies 413, malformed requests 400") {
  io_context io;
  ServerSettings settings;
  settings.max_header_bytes = 1000;
  settings.max_body_bytes = 1000;
  TestServer server(io, settings);
  RawCaller large_header(io, server.port);
  RawCaller declared_length(io, server.port);
  RawCaller chunked(io, server.port);
  RawCaller malformed(io, server.port);
  large_header.Send("GET / HTTP/1.1\r\nX: " + std::string(5000, 'a'));
  declared_length.Send("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
  chunked.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
               std::string(2000, 'a'));
  malformed.Send("what is this\r\n\r\n");
  REQUIRE(RunUntil(io, [&] {
    return large_header.Ended() && declared_length.Ended() && chunked.Ended() &&
           malformed.Ended();
  }));
  CHECK(large_header.Received("431"));
  CHECK(declared_length.Received("413"));
  CHECK(chunked.Received("413"));
  CHECK(malformed.Received("400"));
  CHECK(malformed.Received(
      R"("type":"invalid_request_error","code":"bad_request")"));
  CHECK(server.requests.empty());
}

// Guards against bytes between those of a body that have no end.
TEST_CASE("framing of a body that is too large gets 431") {
  io_context io;
  TestServer server(io);
  const std::string head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string long_line(40 << 10, '0');
  std::string trailers;
  while (trailers.size() < (40 << 10)) trailers += "X: y\r\n";
  std::string extensions;
  while (extensions.size() < (2 << 20))
    extensions += "1;" + std::string(1000, 'a') + "\r\nx\r\n";
  for (const std::string& framing :
       {long_line, "1;a=" + long_line, "0;a=" + long_line,
        "0\r\nX: " + long_line, "0\r\n" + trailers, extensions}) {
    CAPTURE(framing.substr(0, 20));
    RawCaller caller(io, server.port);
    std::string_view rest = framing;
    caller.Send(head);
    REQUIRE(RunUntil(io, [&] {
      constexpr size_t kPiece = 8 << 10;
      caller.Send(rest.substr(0, kPiece));
      rest.remove_prefix(std::min(kPiece, rest.size()));
      return caller.Ended();
    }));
    CHECK(caller.Received("431"));
  }
  CHECK(server.requests.empty());
}

// Framing within the limits: a chunk of one byte, trailers, an extension.
TEST_CASE("chunks of one byte and trailers are accepted") {
  io_context io;
  TestServer server(io);
  constexpr int kChunks = 100'000;
  std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < kChunks; ++i) request += "1\r\na\r\n";
  request += "0;b=c\r\nX: " + std::string(10'000, 'd') + "\r\n\r\n";
  RawCaller caller(io, server.port);
  std::string_view rest = request;
  REQUIRE(RunUntil(io, [&] {
    constexpr size_t kPiece = 8 << 10;
    if (!rest.empty()) caller.Send(rest.substr(0, kPiece));
    rest.remove_prefix(std::min(kPiece, rest.size()));
    return server.requests.size() == 1;
  }));
  CHECK(server.requests[0].body == std::string(kChunks, 'a'));
}

TEST_CASE("buffered bodies are bounded over all connections") {
  io_context io;
  ServerSettings settings;
  settings.max_held_bytes = 350'000;
  TestServer server(io, settings);
  const std::string post = "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
                           std::string(100'000, 'a');
  RawCaller first(io, server.port);
  first.Send(post);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  RawCaller second(io, server.port);
  second.Send(post);
  REQUIRE(RunUntil(io, [&] { return second.Ended(); }));
  CHECK(second.Received("503"));
  CHECK(second.Received("Retry-After"));
  server.Respond(server.requests[0].exchange, "done");
  RawCaller third(io, server.port);
  third.Send(post);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 2; }));
}

// Guards against bodies that are left open and take the memory of others.
TEST_CASE("the oldest and largest incomplete requests give way") {
  io_context io;
  ServerSettings settings;
  settings.max_held_bytes = 1'000'000;
  TestServer server(io, settings);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, "answer");
  };
  const std::string half = "POST / HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" +
                           std::string(200'000, 'a');
  std::vector<std::unique_ptr<RawCaller>> open;
  for (int i = 0; i < 8; ++i) {
    open.push_back(std::make_unique<RawCaller>(io, server.port));
    open.back()->Send(half);
    RunUntil(io, [&] { return server.server.held_bytes() > 0; });
    CHECK(server.server.held_bytes() <= settings.max_held_bytes + (64 << 10));
  }
  REQUIRE(RunUntil(io, [&] { return open[0]->Ended(); }));
  CHECK(open[0]->Received("503"));
  CHECK(open[0]->Received("Retry-After"));
  CHECK(open[0]->Received("\"not_run\":true"));
  RawCaller calm(io, server.port);
  calm.Send("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
            std::string(100'000, 'b'));
  CHECK(RunUntil(io, [&] { return calm.Received("answer"); }));
  CHECK(server.server.held_bytes() <= settings.max_held_bytes);
  CHECK(server.server.gave_way() > 0);
  open.clear();
  calm.Close();
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 0; }));
  CHECK(server.server.held_bytes() == 0);
}

// A request within its own limits is served in calm, whatever it takes.
TEST_CASE("a single request may need all memory") {
  io_context io;
  ServerSettings settings;
  settings.max_held_bytes = 100'000;
  TestServer server(io, settings);
  RawCaller caller(io, server.port);
  caller.Send("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
              std::string(200'000, 'a'));
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.Respond(server.requests[0].exchange, std::string(200'000, 'b'));
  CHECK(RunUntil(io, [&] {
    return caller.Received("200 OK") && caller.received.size() > 200'000;
  }));
}

// Guards against responses that fill the memory since nobody reads them.
TEST_CASE("responses that are not read give way") {
  io_context io;
  ServerSettings settings;
  settings.max_held_bytes = 20 << 20;
  TestServer server(io, settings);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, std::string(8 << 20, 'a'));
  };
  std::vector<std::unique_ptr<RawCaller>> open;
  for (size_t i = 1; i <= 8; ++i) {
    open.push_back(std::make_unique<RawCaller>(io, server.port));
    open.back()->Send(kGet);
    REQUIRE(RunUntil(io, [&] { return server.requests.size() == i; }));
    CHECK(server.server.held_bytes() <= settings.max_held_bytes);
  }
  CHECK(server.server.open_connections() < open.size());
  CHECK(open.back()->Received("200 OK"));
}

// Guards against input that is kept for callers that send on while they are
// served.
TEST_CASE("little is read ahead of the request that is served") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  const uint64_t held = server.server.held_bytes();
  for (int i = 0; i < 100; ++i) {
    caller.Send(std::string(8 << 10, 'a'));
    io.restart();
    io.poll();
  }
  CHECK(server.server.held_bytes() <= held + (16 << 10));
  CHECK(server.disconnects.empty());
}

// Guards against connections that take all places and send nothing.
TEST_CASE("a silent connection gives its place to a new one") {
  io_context io;
  ServerSettings settings;
  settings.max_connections = 10;
  TestServer server(io, settings);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, "answer");
  };
  std::vector<std::unique_ptr<RawCaller>> silent;
  for (int i = 0; i < 30; ++i) {
    silent.push_back(std::make_unique<RawCaller>(io, server.port));
    if (i % 2 == 0) silent.back()->Send("G");
    RawCaller calm(io, server.port);
    calm.Send(kGet);
    REQUIRE(RunUntil(io, [&] { return calm.Received("answer"); }));
    CHECK(server.server.open_connections() <= 12);
  }
  CHECK(silent[0]->Ended());
}

TEST_CASE("a full sink and an excess connection get 503") {
  io_context io;
  ServerSettings settings;
  settings.max_connections = 1;
  TestServer server(io, settings);
  server.reject_events = true;
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return caller.Received("\"not_run\":true"); }));
  CHECK(caller.Received("503"));
  CHECK(caller.Received("Retry-After: 1"));
  RawCaller second(io, server.port);
  REQUIRE(RunUntil(io, [&] { return second.Ended(); }));
  CHECK(second.Received("too_many_connections"));
}

TEST_CASE("a stream that is not read is closed with a disconnect event") {
  // Guards against unbounded memory: a caller opens a stream and stops reading;
  // its TCP window fills, and the engine's output would accumulate in the
  // server.
  io_context io;
  ServerSettings settings;
  settings.max_unsent_bytes = 1 << 20;
  settings.write_timeout = std::chrono::hours(1);
  TestServer server(io, settings);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  const ExchangeId exchange = server.requests[0].exchange;
  server.server.Execute(BeginStreamCommand{.exchange = exchange});
  const std::string piece(256 << 10, 'a');
  REQUIRE(RunUntil(io, [&] {
    server.server.Execute(
        StreamChunkCommand{.exchange = exchange, .data = piece});
    return server.disconnects.size() == 1;
  }));
  CHECK(server.server.open_connections() == 0);
}

TEST_CASE("a caller that stops reading is disconnected at the write timeout") {
  io_context io;
  ServerSettings settings;
  settings.write_timeout = milliseconds(100);
  TestServer server(io, settings);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.Respond(server.requests[0].exchange, std::string(64 << 20, 'a'));
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 0; }));
}

TEST_CASE("a half-open connection is closed at the idle timeout") {
  io_context io;
  ServerSettings settings;
  settings.idle_timeout = milliseconds(100);
  TestServer server(io, settings);
  RawCaller silent(io, server.port);
  REQUIRE(RunUntil(io, [&] { return silent.Ended(); }));
  CHECK(silent.received.empty());
  CHECK(server.server.open_connections() == 0);
}

TEST_CASE("a graceful stop completes exchanges in flight") {
  // Guards against requests lost on SIGTERM: a request in flight and one that
  // was just sent on an idle connection must both be answered.
  io_context io;
  TestServer server(io);
  RawCaller busy(io, server.port);
  RawCaller idle(io, server.port);
  busy.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.server.StopAccepting();
  idle.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 2; }));
  server.Respond(server.requests[1].exchange, "just in time");
  REQUIRE(RunUntil(io, [&] { return idle.Ended(); }));
  CHECK(idle.Received("just in time"));
  idle.Close();
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 1; }));
  server.Respond(server.requests[0].exchange, "answered");
  REQUIRE(RunUntil(io, [&] { return busy.Ended(); }));
  CHECK(busy.Received("Connection: close"));
  CHECK(busy.Received("answered"));
  busy.Close();
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 0; }));
}

TEST_CASE("an aborted stream has no final chunk") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  const ExchangeId exchange = server.requests[0].exchange;
  server.server.Execute(BeginStreamCommand{.exchange = exchange});
  server.server.Execute(
      StreamChunkCommand{.exchange = exchange, .data = "part"});
  server.server.Execute(AbortCommand{.exchange = exchange});
  REQUIRE(RunUntil(io, [&] { return caller.Ended(); }));
  CHECK(caller.Received("part"));
  CHECK_FALSE(caller.Received("0\r\n\r\n"));
  CHECK(server.disconnects.empty());
}

TEST_CASE("Listen fails for an address that is in use or invalid") {
  io_context io;
  TestServer server(io);
  Server second(io, {}, [](ServerEvent&&) { return true; });
  CHECK_FALSE(second.Listen(server.address));
  Server third(io, {}, [](ServerEvent&&) { return true; });
  CHECK_FALSE(third.Listen("nowhere"));
}

TEST_CASE("a request with Expect: 100-continue gets 100 Continue") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  REQUIRE(
      RunUntil(io, [&] { return caller.Received("100 Continue\r\n\r\n"); }));
  caller.Send("ab");
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  CHECK(server.requests[0].body == "ab");
}

TEST_CASE("pipelined requests are answered in order") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(std::string(kGet) + "GET /second HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.Respond(server.requests[0].exchange, "one");
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 2; }));
  CHECK(caller.Received("one"));
  CHECK(server.requests[1].target == "/second");
  server.Respond(server.requests[1].exchange, "two");
  REQUIRE(RunUntil(io, [&] { return caller.Received("two"); }));
}

TEST_CASE("a stream to an HTTP/1.0 caller ends by closing the connection") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send("GET / HTTP/1.0\r\n\r\n");
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  const ExchangeId exchange = server.requests[0].exchange;
  server.server.Execute(BeginStreamCommand{.exchange = exchange});
  server.server.Execute(
      StreamChunkCommand{.exchange = exchange, .data = "text", .last = true});
  REQUIRE(RunUntil(io, [&] { return caller.Ended(); }));
  CHECK(caller.received.ends_with("\r\n\r\ntext"));
}

TEST_CASE("connections in the accept queue are served before a stop") {
  // Guards against a reset on SIGTERM between a caller's connect and the
  // server's accept: closing the listener alone would reset a connection that
  // is established for the caller.
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  server.server.StopAccepting();
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.Respond(server.requests[0].exchange, "answered");
  REQUIRE(RunUntil(io, [&] { return caller.Received("answered"); }));
}

TEST_CASE("a connection that is not admitted is closed unread") {
  io_context io;
  TestServer server(io);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, "body");
  };
  bool admits = false;
  int asked = 0;
  server.server.SetConnectionFilter([&] {
    ++asked;
    return admits;
  });
  RawCaller refused(io, server.port);
  REQUIRE(RunUntil(io, [&] { return asked == 1; }));
  CHECK(server.server.open_connections() == 0);
  admits = true;
  RawCaller admitted(io, server.port);
  admitted.Send(kGet);
  CHECK(RunUntil(io, [&] { return admitted.Received("HTTP/1.1 200 OK"); }));
  CHECK(server.requests.size() == 1);
}

}  // namespace knapweedstile::http
