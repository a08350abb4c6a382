#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "loopback.h"

namespace knapweedstile::http {
namespace {

using boost::asio::io_context;
using boost::asio::ip::tcp;

std::vector<std::string> Bodies() {
  return {"0\r\n\r\n",
          "00000\r\n\r\n",
          "0;a=b\r\n\r\n",
          "0\r\nX: y\r\n\r\n",
          "2\r\nab\r\n0\r\n\r\n",
          "1\r\na\r\n1;x\r\nb\r\n0;y=\"z\"\r\nX: y\r\nZ: w\r\n\r\n"};
}

std::string BodyOf(const std::string& chunks) {
  if (chunks.starts_with('0')) return "";
  return "ab";
}

// Lets the other side read what was sent.
void RunReady(io_context& io) {
  constexpr int kRounds = 4;
  for (int i = 0; i < kRounds; ++i) {
    io.restart();
    io.poll();
  }
}

// Two pieces with each cut, and pieces of each size.
std::vector<std::vector<std::string>> PiecesOf(const std::string& message) {
  std::vector<std::vector<std::string>> forms;
  for (size_t cut = 1; cut < message.size(); ++cut) {
    forms.push_back({message.substr(0, cut), message.substr(cut)});
  }
  for (size_t size = 1; size < message.size(); ++size) {
    std::vector<std::string> pieces;
    for (size_t at = 0; at < message.size(); at += size) {
      pieces.push_back(message.substr(at, size));
    }
    forms.push_back(std::move(pieces));
  }
  return forms;
}

// A server that sends what the test gives it, on its latest connection.
class PieceServer {
 public:
  explicit PieceServer(io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int connections() const noexcept { return connections_; }
  // Whether a whole request was read on the latest connection.
  bool asked() const noexcept { return asked_; }
  void Send(const std::string& bytes) {
    boost::system::error_code ec;
    boost::asio::write(*socket_, boost::asio::buffer(bytes), ec);
  }
  void Close() {
    boost::system::error_code ec;
    socket_->close(ec);
  }
  void Forget() { asked_ = false; }

 private:
  void Accept() {
    acceptor_.async_accept([this](const auto& ec, tcp::socket accepted) {
      if (ec) return;
      ++connections_;
      socket_ = std::make_shared<tcp::socket>(std::move(accepted));
      socket_->set_option(tcp::no_delay(true));
      input_.clear();
      Read(socket_);
      Accept();
    });
  }
  void Read(const std::shared_ptr<tcp::socket>& socket) {
    boost::asio::async_read_until(*socket, boost::asio::dynamic_buffer(input_),
                                  "\r\n\r\n",
                                  [this, socket](const auto& ec, size_t bytes) {
                                    if (ec || socket != socket_) return;
                                    input_.erase(0, bytes);
                                    asked_ = true;
                                    Read(socket);
                                  });
  }

  tcp::acceptor acceptor_;
  std::shared_ptr<tcp::socket> socket_;
  std::string input_;
  int connections_ = 0;
  bool asked_ = false;
};

constexpr char kGet[] = "GET /calm HTTP/1.1\r\nHost: x\r\n\r\n";

using Random = std::mt19937_64;

size_t Below(Random& random, size_t count) {
  return static_cast<size_t>(random() % std::max<size_t>(1, count));
}

// Replaces, removes, repeats and inserts bytes that matter to a parser.
std::string Mutate(std::string text, Random& random) {
  const std::vector<std::string> inserts = {
      "\r\n",
      "\r",
      "\n",
      "0",
      "0\r\n",
      ":",
      ";",
      ";a=\"",
      " ",
      std::string(1, '\0'),
      "\x80",
      "ffffffffffffffff",
      "Transfer-Encoding: chunked\r\n",
      "Content-Length: 3\r\n",
      "Content-Length: 18446744073709551615\r\n",
      "Expect: 100-continue\r\n",
      "Connection: close\r\n",
      "HTTP/1.1 100 C\r\n\r\n",
      std::string(3000, 'a')};
  const size_t changes = 1 + Below(random, 4);
  for (size_t i = 0; i < changes; ++i) {
    const size_t at = Below(random, text.size());
    const size_t size = Below(random, std::min<size_t>(8, text.size() - at));
    switch (Below(random, 4)) {
      case 0:
        text.erase(at, size);
        break;
      case 1:
        text.insert(at, text.substr(at, size));
        break;
      case 2:
        text.insert(at, inserts[Below(random, inserts.size())]);
        break;
      default:
        text[at] = static_cast<char>(random());
    }
    if (text.empty()) text = "\r\n";
  }
  return text;
}

std::vector<std::string> RandomPieces(const std::string& text, Random& random) {
  std::vector<std::string> pieces;
  for (size_t at = 0; at < text.size();) {
    const size_t size = 1 + Below(random, Below(random, 2) == 0 ? 4 : 200);
    pieces.push_back(text.substr(at, size));
    at += size;
  }
  return pieces;
}

constexpr char kChunkedPost[] =
    "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nTransfer-"
    "Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0;c\r\nX: y\r\n\r\n";
constexpr char kOldPut[] =
    "PUT /b HTTP/1.0\r\nConnection: keep-alive\r\n"
    "Content-Length: 2\r\n\r\nab";
constexpr char kChunkedAnswer[] =
    "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
    "\r\n\r\n5;a=b\r\nhello\r\n0;c\r\nX: y\r\n\r\n";
constexpr char kLateAnswer[] =
    "HTTP/1.1 503 X\r\nRequest-Id: old\r\nContent-Length: 0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nRequest-Id: new\r\nContent-Length: 2\r\n\r\nab";

constexpr uint64_t kSeeds = 2000;

}  // namespace

// Guards against a parser that ends the process, or loses a request, at bytes
// that arrive in pieces.
TEST_CASE("a chunked request arrives in pieces of any size") {
  io_context io;
  TestServer server(io);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, "answer");
  };
  for (const std::string& chunks : Bodies()) {
    for (const auto& pieces : PiecesOf(chunks)) {
      CAPTURE(pieces);
      RawCaller caller(io, server.port);
      caller.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (const std::string& piece : pieces) {
        RunReady(io);
        caller.Send(piece);
      }
      server.requests.clear();
      REQUIRE(RunUntil(io, [&] { return caller.Received("answer"); }));
      REQUIRE(server.requests.size() == 1);
      CHECK(server.requests[0].body == BodyOf(chunks));
    }
  }
}

// The same for a head and a first chunk that arrive together.
TEST_CASE("a request is cut at any byte") {
  io_context io;
  TestServer server(io);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, "answer");
  };
  for (const std::string& chunks : Bodies()) {
    const std::string message =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
    for (size_t cut = 1; cut < message.size(); ++cut) {
      CAPTURE(message, cut);
      RawCaller caller(io, server.port);
      caller.Send(message.substr(0, cut));
      RunReady(io);
      caller.Send(message.substr(cut));
      REQUIRE(RunUntil(io, [&] { return caller.Received("answer"); }));
    }
  }
}

// Guards against a client that ends the process, or loses a response, at bytes
// that arrive in pieces.
TEST_CASE("a chunked response arrives in pieces of any size") {
  io_context io;
  PieceServer server(io);
  TestClient client(io);
  uint64_t exchange = 0;
  for (const bool streamed : {false, true}) {
    for (const std::string& chunks : Bodies()) {
      const std::string message =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
      for (const auto& pieces : PiecesOf(message)) {
        CAPTURE(pieces, streamed);
        client.streamed.clear();
        client.ends.clear();
        server.Forget();
        client.client.Send({.exchange = ExchangeId(++exchange),
                            .address = server.address(),
                            .stream_body = streamed});
        REQUIRE(RunUntil(io, [&] { return server.asked(); }));
        for (const std::string& piece : pieces) {
          server.Send(piece);
          RunReady(io);
        }
        REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
        CHECK(client.ends[0].outcome == ClientOutcome::kComplete);
        CHECK(client.ends[0].body + client.streamed == BodyOf(chunks));
      }
    }
  }
}

// Guards against a part of a response that passes for the whole, also on a
// connection that has carried another one.
TEST_CASE("a response that is cut is not complete") {
  const std::string body = "0123456789";
  const std::string length = "Content-Length: 10\r\n\r\n";
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nX: y\r\n" + length + body,
      "HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n" + length + body,
      "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + length + body,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n"
      "\r\n"};
  io_context io;
  PieceServer server(io);
  TestClient client(io);
  uint64_t exchange = 0;
  const auto begin = [&](bool streamed) {
    client.ends.clear();
    server.Forget();
    client.client.Send({.exchange = ExchangeId(++exchange),
                        .address = server.address(),
                        .stream_body = streamed});
    REQUIRE(RunUntil(io, [&] { return server.asked(); }));
  };
  for (const std::string& response : responses) {
    for (size_t cut = 0; cut < response.size(); ++cut) {
      for (const int form : {0, 1, 2, 3}) {
        const bool streamed = form % 2 == 1;
        const bool reuses_connection = form / 2 == 1;
        CAPTURE(response, cut, streamed, reuses_connection);
        if (reuses_connection) {
          begin(streamed);
          server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
          REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
          CHECK(client.ends[0].outcome == ClientOutcome::kComplete);
        }
        const int connections = server.connections();
        begin(streamed);
        if (reuses_connection) CHECK(server.connections() == connections);
        server.Send(response.substr(0, cut));
        server.Close();
        REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
        CHECK(client.ends[0].outcome != ClientOutcome::kComplete);
      }
    }
  }
}

// Guards against requests that end the process or keep their connection busy.
TEST_CASE("random requests leave the server usable") {
  const std::vector<std::string> requests = {
      kGet, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
      kChunkedPost, kOldPut, std::string(kGet) + kGet};
  io_context io;
  ServerSettings settings;
  settings.max_header_bytes = 4 << 10;
  settings.max_body_bytes = 64 << 10;
  TestServer server(io, settings);
  server.on_request = [&](const RequestEvent& r) {
    server.Respond(r.exchange, "calm answer");
  };
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    RawCaller caller(io, server.port);
    const std::string text =
        Mutate(requests[Below(random, requests.size())], random);
    for (const std::string& piece : RandomPieces(text, random)) {
      if (!caller.Send(piece)) break;
      RunReady(io);
    }
    caller.Close();
    REQUIRE(
        RunUntil(io, [&] { return server.server.open_connections() == 0; }));
    RawCaller calm(io, server.port);
    calm.Send(kGet);
    REQUIRE(RunUntil(io, [&] { return calm.Received("calm answer"); }));
    calm.Close();
    REQUIRE(
        RunUntil(io, [&] { return server.server.open_connections() == 0; }));
  }
}

// Guards against responses that end the process, or a request without an end.
TEST_CASE("random responses end their requests") {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", kChunkedAnswer,
      "HTTP/1.1 200 OK\r\n\r\nuntil the end", kLateAnswer};
  io_context io;
  PieceServer server(io);
  TestClient client(io);
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    client.ends.clear();
    server.Forget();
    ClientRequest request{.exchange = ExchangeId(seed),
                          .address = server.address(),
                          .stream_body = seed % 2 == 0,
                          .echoed_field = "Request-Id"};
    request.headers.Add("Request-Id", "new");
    client.client.Send(std::move(request));
    REQUIRE(RunUntil(io, [&] { return server.asked(); }));
    const std::string text =
        Mutate(responses[Below(random, responses.size())], random);
    for (const std::string& piece : RandomPieces(text, random)) {
      if (!client.ends.empty()) break;
      server.Send(piece);
      RunReady(io);
    }
    server.Close();
    REQUIRE(RunUntil(io, [&] { return client.ends.size() == 1; }));
  }
}

}  // namespace knapweedstile::http
