#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

#include "loopback.h"

namespace knapweedstile::http {
namespace {

using boost::asio::io_context;

using Parts = std::initializer_list<std::string_view>;

std::string Join(Parts parts) {
  std::string text;
  for (const std::string_view part : parts) text += part;
  return text;
}

// A client and a server, for one request after the other.
struct Exchanges {
  io_context io;
  ScriptedServer server{io};
  TestClient client{io};
  uint64_t count = 0;

  EndEvent Call(const std::string& answer, AfterAnswer after, bool streamed,
                std::string body = {}) {
    server.answers = {answer};
    server.after = after;
    client.ends.clear();
    client.heads.clear();
    client.streamed.clear();
    client.client.Send({.exchange = ExchangeId(++count),
                        .address = server.address(),
                        .method = body.empty() ? "GET" : "POST",
                        .body = std::move(body),
                        .stream_body = streamed});
    REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
    return client.ends[0];
  }
  // Neither the status, nor a field, nor a byte of the body may be taken from
  // bytes that are no response.
  void CheckInvalid(Parts parts, AfterAnswer after) {
    const std::string bytes = Join(parts);
    for (const bool streamed : {false, true}) {
      CAPTURE(bytes, streamed);
      const EndEvent end = Call(bytes, after, streamed);
      CHECK(end.outcome == ClientOutcome::kInvalid);
      CHECK(end.status == 0);
      CHECK(end.headers.fields().empty());
      CHECK(end.body.empty());
      CHECK(client.heads.empty());
      CHECK(client.streamed.empty());
      // The connection is closed with it.
      CHECK(server.connections == count);
    }
  }
  void CheckComplete(Parts parts, AfterAnswer after) {
    const std::string bytes = Join(parts);
    for (const bool streamed : {false, true}) {
      CAPTURE(bytes, streamed);
      const EndEvent end = Call(bytes, after, streamed);
      CHECK(end.outcome == ClientOutcome::kComplete);
      CHECK((streamed ? client.streamed : end.body) == "hello");
    }
  }
};

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";
// Ends of a response, after its first fields.
constexpr char kWithLength[] = "Content-Length: 5\r\n\r\nhello";
constexpr char kInChunks[] =
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
constexpr char kUntilClose[] = "\r\nhello";
// More than the kernel takes from a client whose server does not read.
constexpr size_t kUploadBytes = 16 << 20;

}  // namespace

// Guards against a status that no response has and that is passed on as one.
TEST_CASE("a response with a status outside 100 to 599 is invalid") {
  Exchanges exchanges;
  for (const char* status : {"000", "001", "042", "099", "600", "700", "999"}) {
    for (const char* version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
      exchanges.CheckInvalid({version, status, " X\r\n", kWithLength},
                             AfterAnswer::kKeepOpen);
      exchanges.CheckInvalid({version, status, " X\r\n", kUntilClose},
                             AfterAnswer::kClose);
    }
    exchanges.CheckInvalid({"HTTP/1.1 ", status, " X\r\n", kInChunks},
                           AfterAnswer::kKeepOpen);
    exchanges.CheckInvalid(
        {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 ", status, " X\r\n", kWithLength},
        AfterAnswer::kKeepOpen);
  }
}

// Guards against a status line that is read in part.
TEST_CASE("a status line that is not of the form of one is invalid") {
  Exchanges exchanges;
  for (const char* line :
       {"HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/1.1 -20 X", "HTTP/1.1 2a0 X",
        "HTTP/1.1  200 X", "HTTP/1.1 200", "HTTP/2.0 200 X", "HTTP/1.2 200 X",
        "HTTP/1.1 200 X\x01", "HTTP/1.1 200 X\rY"}) {
    exchanges.CheckInvalid({line, "\r\n", kWithLength}, AfterAnswer::kKeepOpen);
  }
}

// Guards against bytes of another protocol that are read as a response.
TEST_CASE("a switch of protocols that was not requested is invalid") {
  Exchanges exchanges;
  exchanges.CheckInvalid({"HTTP/1.1 101 X\r\n\r\n", kOk, kWithLength},
                         AfterAnswer::kKeepOpen);
  exchanges.CheckInvalid(
      {"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", kOk,
       kWithLength},
      AfterAnswer::kKeepOpen);
  for (const char* interim : {"100", "102", "103"}) {
    exchanges.CheckComplete(
        {"HTTP/1.1 ", interim, " X\r\n\r\n", kOk, kWithLength},
        AfterAnswer::kKeepOpen);
  }
}

// Guards against coded bytes that are passed on as the body.
TEST_CASE("a response with a transfer coding besides chunked is invalid") {
  Exchanges exchanges;
  constexpr char kChunks[] = "\r\n5\r\nhello\r\n0\r\n\r\n";
  constexpr char kLength[] = "Content-Length: 15\r\n";
  constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";
  for (const char* coding :
       {"foo", "xchunked", "chunkedx", "chunked, foo", "foo, chunked",
        "gzip, chunked", "gzip", "identity", "chunked, chunked", "chunked;a=b",
        "chunked foo", "\"chunked\"", ""}) {
    const std::string coded = Join({"Transfer-Encoding: ", coding, "\r\n"});
    exchanges.CheckInvalid({kOk, coded, kChunks}, AfterAnswer::kClose);
    exchanges.CheckInvalid({kOk, coded, kLength, kChunks}, AfterAnswer::kClose);
    exchanges.CheckInvalid({kOk, kLength, coded, kChunks}, AfterAnswer::kClose);
    exchanges.CheckInvalid({kOk, coded, kChunked, kChunks},
                           AfterAnswer::kClose);
    exchanges.CheckInvalid({kOk, kChunked, coded, kChunks},
                           AfterAnswer::kClose);
  }
  // HTTP/1.0 has no transfer codings.
  exchanges.CheckInvalid({"HTTP/1.0 200 OK\r\n", kInChunks},
                         AfterAnswer::kClose);
  for (const char* coding : {"chunked", "Chunked", "  chunked\t "}) {
    exchanges.CheckComplete(
        {kOk, "Transfer-Encoding: ", coding, "\r\n", kChunks},
        AfterAnswer::kKeepOpen);
  }
}

// Guards against a head in which a line is passed on, or ignored, that is no
// field.
TEST_CASE("a response with a malformed field name is invalid") {
  Exchanges exchanges;
  std::string malformed = " ()<>@,;\\\"/[]?={}\x7f\x80\xff";
  for (char c = 0; c < ' '; ++c) malformed += c;
  const auto insert = [](std::string name, size_t at, char c) {
    return name.insert(at, 1, c);
  };
  for (const char c : malformed) {
    for (const std::string name : {"X-Trouble", "Content-Length"}) {
      for (const size_t at : {size_t{0}, size_t{2}, name.size()}) {
        const std::string line = insert(name, at, c) + ": 3\r\n";
        exchanges.CheckInvalid({kOk, line, kWithLength}, AfterAnswer::kClose);
        exchanges.CheckInvalid({kOk, line, kUntilClose}, AfterAnswer::kClose);
        // A line that begins with a blank continues the one before it.
        if (at == 0 && (c == ' ' || c == '\t')) continue;
        exchanges.CheckInvalid({kOk, "A: b\r\n", line, kWithLength},
                               AfterAnswer::kClose);
        exchanges.CheckInvalid(
            {kOk, "Content-Length: 5\r\n", line, kUntilClose},
            AfterAnswer::kClose);
      }
    }
    exchanges.CheckInvalid({kOk, insert("Transfer-Encoding", 8, c),
                            ": chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
                           AfterAnswer::kClose);
  }
  exchanges.CheckInvalid({kOk, ": 3\r\n", kWithLength}, AfterAnswer::kClose);
  exchanges.CheckInvalid({kOk, "X-Trouble\r\n", kWithLength},
                         AfterAnswer::kClose);
}

// Guards against a part of a body that passes for the whole, when the write of
// the request meets the reset of the connection before the read does.
TEST_CASE("a body that ends with a reset during an upload is not complete") {
  constexpr int kRepeats = 5;
  constexpr char kUnendedChunks[] =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
  const std::string upload(kUploadBytes, 'u');
  for (const char* response :
       {"HTTP/1.1 200 OK\r\n\r\nhello", "HTTP/1.0 200 OK\r\n\r\nhello",
        "HTTP/1.1 404 X\r\n\r\nhello", "HTTP/1.1 500 X\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello", kUnendedChunks}) {
    for (int i = 0; i < kRepeats; ++i) {
      for (const bool streamed : {false, true}) {
        CAPTURE(response, streamed);
        Exchanges exchanges;
        const EndEvent end =
            exchanges.Call(response, AfterAnswer::kReset, streamed, upload);
        CHECK(end.outcome == ClientOutcome::kLost);
        CHECK(end.body.empty());
      }
    }
  }
}

// Guards against an early answer that is given up, although its end is certain.
TEST_CASE("a response that precedes the end of the upload is complete") {
  const std::string upload(kUploadBytes, 'u');
  constexpr char kTooLarge[] = "HTTP/1.1 413 Too Large\r\n";
  struct Case {
    const char* end;
    AfterAnswer after;
  };
  for (const Case& c : {Case{kUntilClose, AfterAnswer::kClose},
                        {kWithLength, AfterAnswer::kClose},
                        {kWithLength, AfterAnswer::kReset},
                        {kInChunks, AfterAnswer::kClose},
                        {kInChunks, AfterAnswer::kReset}}) {
    for (const bool streamed : {false, true}) {
      CAPTURE(c.end, streamed);
      Exchanges exchanges;
      const EndEvent end =
          exchanges.Call(Join({kTooLarge, c.end}), c.after, streamed, upload);
      CHECK(end.outcome == ClientOutcome::kComplete);
      CHECK(end.status == 413);
      CHECK((streamed ? exchanges.client.streamed : end.body) == "hello");
    }
  }
}

}  // namespace knapweedstile::http
