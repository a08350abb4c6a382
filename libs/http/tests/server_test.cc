#include <catch2/catch.hpp>

#include "loopback.h"

namespace knapweedstile::http {
namespace {

using boost::asio::io_context;
using std::chrono::milliseconds;

constexpr char kGet[] = "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Key: v\r\n\r\n";

}  // namespace

TEST_CASE("a whole request is answered and the connection is kept") {
  io_context io;
  TestServer server(io);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, r.method + r.target + r.body);
  };
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return caller.Got("GET/a?b=c"); }));
  CHECK(caller.Got("HTTP/1.1 200 OK\r\n"));
  CHECK(caller.Got("Content-Length: 9\r\n"));
  CHECK(server.requests[0].headers.Find("x-kEY") == "v");
  caller.Send("POST /p HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 1; }));
  caller.Send("cd");
  REQUIRE(RunUntil(io, [&] { return caller.Got("POST/pabcd"); }));
  CHECK(server.server.open_exchanges() == 0);
  CHECK(server.server.open_connections() == 1);
}

TEST_CASE("a streamed response is chunked and ends") {
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
  REQUIRE(RunUntil(io, [&] { return caller.Got("9\r\ndata: 1\n\n\r\n"); }));
  CHECK(caller.Got("Transfer-Encoding: chunked"));
  CHECK_FALSE(caller.Got("X-Injected"));
  CHECK(server.server.open_exchanges() == 1);
  server.server.Execute(StreamChunkCommand{.exchange = exchange, .last = true});
  REQUIRE(RunUntil(io, [&] { return caller.Got("0\r\n\r\n"); }));
  CHECK(server.server.open_exchanges() == 0);
}

TEST_CASE("a caller that leaves is told, while pending and while streaming") {
  // The owner closes the page while the answer is being made; without the news
  // the engine would go on for nobody.
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
  // A response that comes late touches nothing.
  server.Respond(server.requests[0].exchange, "late");
}

TEST_CASE("the news of a disconnect is offered until the sink takes it") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.refuse = true;
  caller.Close();
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 0; }));
  server.refuse = false;
  REQUIRE(RunUntil(io, [&] { return server.disconnects.size() == 1; }));
}

TEST_CASE("a slow sender gets 408, in the header and in the body") {
  io_context io;
  ServerSettings settings;
  settings.header_timeout = settings.body_timeout = milliseconds(100);
  TestServer server(io, settings);
  RawCaller header(io, server.port);
  RawCaller body(io, server.port);
  header.Send("GET / HT");
  body.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  REQUIRE(RunUntil(io, [&] { return header.Ended() && body.Ended(); }));
  CHECK(header.Got("408"));
  CHECK(body.Got("request_timeout"));
  CHECK(server.requests.empty());
}

TEST_CASE("a header flood gets 431, a large body 413, a broken request 400") {
  io_context io;
  ServerSettings settings;
  settings.max_header_bytes = 1000;
  settings.max_body_bytes = 1000;
  TestServer server(io, settings);
  RawCaller flood(io, server.port);
  RawCaller announced(io, server.port);
  RawCaller chunked(io, server.port);
  RawCaller broken(io, server.port);
  flood.Send("GET / HTTP/1.1\r\nX: " + std::string(5000, 'a'));
  announced.Send("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
  chunked.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
               std::string(2000, 'a'));
  broken.Send("what is this\r\n\r\n");
  REQUIRE(RunUntil(io, [&] {
    return flood.Ended() && announced.Ended() && chunked.Ended() &&
           broken.Ended();
  }));
  CHECK(flood.Got("431"));
  CHECK(announced.Got("413"));
  CHECK(chunked.Got("413"));
  CHECK(broken.Got("400"));
  CHECK(broken.Got(R"("type":"invalid_request_error","code":"bad_request")"));
  CHECK(server.requests.empty());
}

TEST_CASE("bodies held over all connections are bounded") {
  io_context io;
  ServerSettings settings;
  settings.max_total_body_bytes = 1500;
  TestServer server(io, settings);
  const std::string post = "POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" +
                           std::string(1000, 'a');
  RawCaller first(io, server.port);
  first.Send(post);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  RawCaller second(io, server.port);
  second.Send(post);
  REQUIRE(RunUntil(io, [&] { return second.Ended(); }));
  CHECK(second.Got("503"));
  CHECK(second.Got("Retry-After"));
  server.Respond(server.requests[0].exchange, "done");
  RawCaller third(io, server.port);
  third.Send(post);
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 2; }));
}

TEST_CASE("a sink that is full and a connection too many get 503") {
  io_context io;
  ServerSettings settings;
  settings.max_connections = 1;
  TestServer server(io, settings);
  server.refuse = true;
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  REQUIRE(RunUntil(io, [&] { return caller.Got("\"not_run\":true"); }));
  CHECK(caller.Got("503"));
  CHECK(caller.Got("Retry-After: 1"));
  RawCaller second(io, server.port);
  REQUIRE(RunUntil(io, [&] { return second.Ended(); }));
  CHECK(second.Got("too_many_connections"));
}

TEST_CASE("a reader that takes nothing is cut and the asker told") {
  // A caller opens a stream and stops reading; its window fills, and what the
  // engine makes would pile up in the server.
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

TEST_CASE("a reader that stops is cut at the write timeout") {
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

TEST_CASE("a half-open connection ends at the idle timeout") {
  io_context io;
  ServerSettings settings;
  settings.idle_timeout = milliseconds(100);
  TestServer server(io, settings);
  RawCaller silent(io, server.port);
  REQUIRE(RunUntil(io, [&] { return silent.Ended(); }));
  CHECK(silent.received.empty());
  CHECK(server.server.open_connections() == 0);
}

TEST_CASE("a graceful stop answers what is in flight and closes the rest") {
  // SIGTERM during a restart: the request in flight and one that has just been
  // sent on a kept connection must both be answered.
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
  CHECK(idle.Got("just in time"));
  idle.Close();
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 1; }));
  server.Respond(server.requests[0].exchange, "answered");
  REQUIRE(RunUntil(io, [&] { return busy.Ended(); }));
  CHECK(busy.Got("Connection: close"));
  CHECK(busy.Got("answered"));
  busy.Close();
  REQUIRE(RunUntil(io, [&] { return server.server.open_connections() == 0; }));
}

TEST_CASE("an aborted response is cut, never ended as if whole") {
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
  CHECK(caller.Got("part"));
  CHECK_FALSE(caller.Got("0\r\n\r\n"));
  CHECK(server.disconnects.empty());
}

TEST_CASE("an address that is in use or is none is an error value") {
  io_context io;
  TestServer server(io);
  Server second(io, {}, [](ServerEvent&&) { return true; });
  CHECK_FALSE(second.Listen(server.address));
  Server third(io, {}, [](ServerEvent&&) { return true; });
  CHECK_FALSE(third.Listen("nowhere"));
}

TEST_CASE("a caller that waits for 100 Continue is told to go on") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  REQUIRE(RunUntil(io, [&] { return caller.Got("100 Continue\r\n\r\n"); }));
  caller.Send("ab");
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  CHECK(server.requests[0].body == "ab");
}

TEST_CASE("a second request that came along is answered after the first") {
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(std::string(kGet) + "GET /second HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.Respond(server.requests[0].exchange, "one");
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 2; }));
  CHECK(caller.Got("one"));
  CHECK(server.requests[1].target == "/second");
  server.Respond(server.requests[1].exchange, "two");
  REQUIRE(RunUntil(io, [&] { return caller.Got("two"); }));
}

TEST_CASE("an HTTP/1.0 caller sees a stream's end by the connection's end") {
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

TEST_CASE("the kernel's queue of connections is answered before a stop") {
  // SIGTERM arrives between a caller's connect and the server's accept; closing
  // the listener alone would reset a connection that the caller holds as made.
  io_context io;
  TestServer server(io);
  RawCaller caller(io, server.port);
  caller.Send(kGet);
  server.server.StopAccepting();
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 1; }));
  server.Respond(server.requests[0].exchange, "answered");
  REQUIRE(RunUntil(io, [&] { return caller.Got("answered"); }));
}

}  // namespace knapweedstile::http
