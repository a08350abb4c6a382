#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "users_platform/site.h"
#include "users_platform/store_client.h"

namespace knapweedstile::users_site {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;

constexpr char kFiveEvents[] =
    "id: 1\ndata: word 1\n\nid: 2\ndata: word 2\n\nid: 3\ndata: word 3\n\n"
    "id: 4\ndata: word 4\n\nid: 5\ndata: word 5\n\n";
constexpr char kFirstEvent[] = "id: 1\ndata: word 1\n\n";

// More than the kernel takes from a sender whose peer does not read.
constexpr size_t kUploadBytes = 16 << 20;

// Bytes that are no response, or only a part of one. ID stands for the
// request's id.
struct BrokenBytes {
  const char* name;
  std::string bytes;
  bool reset = false;  // the connection, while the request is being sent
};

std::string Answer(const std::string& status_line,
                   const std::string& framing = "") {
  return status_line + "\r\nRequest-Id: ID\r\nResponse-Signature: signed\r\n" +
         framing + "\r\n";
}

std::vector<BrokenBytes> AllBrokenBytes() {
  const std::string events = kFirstEvent;
  const std::string ok = "HTTP/1.1 200 OK";
  const std::string length = "Content-Length: 20\r\n";
  return {
      {"status 000", Answer("HTTP/1.1 000 X", length) + events},
      {"status 099 until the close", Answer("HTTP/1.1 099 X") + events},
      {"status 600", Answer("HTTP/1.1 600 X", length) + events},
      {"status 999 in chunks",
       Answer("HTTP/1.1 999 X", "Transfer-Encoding: chunked\r\n") + "14\r\n" +
           events + "\r\n0\r\n\r\n"},
      {"switch of protocols",
       "HTTP/1.1 101 X\r\n\r\n" + Answer(ok, length) + events},
      {"unknown coding", Answer(ok, "Transfer-Encoding: foo\r\n") + events},
      {"chunks that are coded",
       Answer(ok, "Transfer-Encoding: foo, chunked\r\n") + "14\r\n" + events +
           "\r\n0\r\n\r\n"},
      {"coding of chunks", Answer(ok, "Transfer-Encoding: chunked, foo\r\n") +
                               "14\r\n" + events + "\r\n0\r\n\r\n"},
      {"blank in a name", Answer(ok, "X Trouble: 1\r\n" + length) + events},
      {"control byte in a name",
       Answer(ok, length + "X\x01Trouble: 1\r\n") + events},
      {"blank after the name of the length",
       Answer(ok, "Content-Length : 20\r\n") + events},
      {"reset, no length", Answer(ok) + events, true},
      {"reset, HTTP/1.0", Answer("HTTP/1.0 200 OK") + events, true},
      {"reset, event stream",
       Answer(ok, "Content-Type: text/event-stream\r\n") + events, true},
      {"reset, length", Answer(ok, "Content-Length: 21\r\n") + events, true}};
}

// Reads the head of each request, sends the bytes, and closes or resets the
// connection.
class BrokenServer {
 public:
  BrokenServer(boost::asio::io_context& io, BrokenBytes bytes)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        bytes_(std::move(bytes)) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  size_t requests() const noexcept { return requests_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection {
    Socket socket;
    std::string input;
  };

  void Accept() {
    acceptor_.async_accept([this](const auto& ec, Socket accepted) {
      if (ec) return;
      auto connection =
          std::make_shared<Connection>(Connection{std::move(accepted), {}});
      boost::asio::async_read_until(
          connection->socket, boost::asio::dynamic_buffer(connection->input),
          "\r\n\r\n", [this, connection](const auto& read_ec, size_t) {
            if (!read_ec) Respond(connection);
          });
      Accept();
    });
  }
  void Respond(const std::shared_ptr<Connection>& connection) {
    ++requests_;
    const std::string& head = connection->input;
    std::string bytes = bytes_.bytes;
    constexpr std::string_view kIdField = "Request-Id: ";
    const size_t field = head.find(kIdField);
    const size_t id = bytes.find("ID\r\n");
    if (field != std::string::npos) {
      const size_t at = field + kIdField.size();
      bytes.replace(id, 2, head.substr(at, head.find('\r', at) - at));
    }
    boost::system::error_code ec;
    boost::asio::write(connection->socket, boost::asio::buffer(bytes), ec);
    if (bytes_.reset) {
      connection->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                    ec);
      connection->socket.close(ec);
      return;
    }
    connection->socket.shutdown(Socket::shutdown_send, ec);
    boost::asio::async_read(connection->socket,
                            boost::asio::dynamic_buffer(connection->input),
                            [connection](const auto&, size_t) {});
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  BrokenBytes bytes_;
  size_t requests_ = 0;
};

// One gateway in front of a sound server of each kind and a broken one.
struct BrokenFleet {
  static constexpr int kSlots = 60;
  Site site;
  BrokenServer broken;
  size_t upload_bytes = 0;
  int request_count = 0;

  explicit BrokenFleet(const BrokenBytes& bytes)
      : broken(site.caller().io(), bytes),
        upload_bytes(bytes.reset ? kUploadBytes : 0) {
    for (const char* service : {"llm", "app"}) {
      ModelServer& sound =
          site.AddServer(service, std::string("i-") + service, kSlots);
      sound.unstreamed_posts = service == std::string("app");
      site.store().Put("servers", std::string("b-") + service,
                       boost::json::object{{"service", service},
                                           {"address", broken.address()},
                                           {"zone", "zone-a"},
                                           {"version", "v1"},
                                           {"slots", kSlots},
                                           {"state", "ready"},
                                           {"sequence", 1}});
    }
    site.max_body_bytes = kUploadBytes;
    site.memory_mb = 1000;
    site.Configure(2);
    site.AddGateway("entry-1");
  }

  struct Reply {
    http::EndEvent end;
    std::string streamed;

    bool HasBody(std::string_view body) const {
      return end.outcome == http::ClientOutcome::kComplete &&
             end.status == 200 && streamed == body;
    }
    // Whether it is a failure of the gateway's own, after which the request may
    // have been executed.
    bool IsFailure() const {
      return end.outcome == http::ClientOutcome::kComplete &&
             end.status == 502 && end.headers.Find("Not-Executed").empty() &&
             end.headers.Find("Response-Signature").empty();
    }
    // Whether it is a stream that was cut off, after none or some of `whole`.
    bool IsBrokenOff(std::string_view whole) const {
      return end.outcome == http::ClientOutcome::kLost && end.status == 200 &&
             whole.starts_with(streamed);
    }
  };
  Reply Call(const std::string& path) {
    harness::Caller& caller = site.caller();
    const std::string name = std::to_string(++request_count);
    auto request =
        site.OnlineRequest("entry-1", "POST", path + name, "r" + name);
    request.body.resize(std::max(request.body.size(), upload_bytes), 'u');
    request.stream_body = true;
    const ExchangeId sent = caller.Begin(std::move(request));
    REQUIRE(caller.RunUntilEnd(sent));
    const harness::Answer& answer = caller.answer(sent);
    return {*answer.end, answer.streamed};
  }
  // Sends requests until the broken server has had several of them.
  std::vector<Reply> CallUntilBroken(const std::string& path) {
    constexpr size_t kBroken = 3;
    constexpr size_t kMaxRequests = 60;
    const size_t before = broken.requests();
    std::vector<Reply> replies;
    while (broken.requests() < before + kBroken &&
           replies.size() < kMaxRequests) {
      replies.push_back(Call(path));
    }
    CHECK(broken.requests() > before);
    return replies;
  }
};

}  // namespace

// Guards against bytes of a server in trouble that are passed on as a response,
// although the request can be repeated at another server.
TEST_CASE("requests that get a broken answer are repeated at another server") {
  for (const BrokenBytes& bytes : AllBrokenBytes()) {
    CAPTURE(bytes.name);
    BrokenFleet fleet(bytes);
    for (const auto& reply : fleet.CallUntilBroken("/ping/")) {
      CHECK(reply.HasBody("plain answer"));
    }
    for (const auto& reply : fleet.CallUntilBroken("/reply/")) {
      CHECK(reply.HasBody(kFiveEvents));
    }
  }
}

// Guards against bytes of a server in trouble that are passed on as a response
// where the request can't be repeated.
TEST_CASE("requests that get a broken answer fail") {
  for (const BrokenBytes& bytes : AllBrokenBytes()) {
    CAPTURE(bytes.name);
    BrokenFleet fleet(bytes);
    size_t failed = 0;
    for (const auto& reply : fleet.CallUntilBroken("/book/")) {
      failed += reply.IsFailure();
      CHECK((reply.IsFailure() || reply.HasBody("plain answer")));
    }
    CHECK(failed > 0);
    failed = 0;
    for (const auto& reply : fleet.CallUntilBroken("/query/")) {
      const bool broken = reply.IsFailure() || reply.IsBrokenOff(kFiveEvents);
      failed += broken;
      CHECK((broken || reply.HasBody(kFiveEvents)));
    }
    CHECK(failed > 0);
  }
}

// Guards against an item whose output is not that of a server's events.
TEST_CASE("items that get a broken answer complete at another server") {
  constexpr int kItems = 40;
  const std::string output = "word 1\nword 2\nword 3\nword 4\nword 5";
  for (const BrokenBytes& bytes : AllBrokenBytes()) {
    CAPTURE(bytes.name);
    BrokenFleet fleet(bytes);
    REQUIRE(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", kItems))
                .status == 202);
    const auto page = fleet.site.WaitForResults("entry-1", "job-a", kItems);
    CHECK(page.at("results").as_array().size() == kItems);
    for (const auto& result : page.at("results").as_array()) {
      CHECK(result.at("state").as_string() == "completed");
      CHECK(result.at("output").as_string() == output.c_str());
    }
    CHECK(fleet.broken.requests() > 0);
  }
}

// Guards against a write that counts as rejected, or as done, although the
// store's answer does not tell.
TEST_CASE("a write that gets a broken answer of the store is in doubt") {
  for (const BrokenBytes& bytes : AllBrokenBytes()) {
    CAPTURE(bytes.name);
    harness::Caller caller;
    BrokenServer store(caller.io(), bytes);
    std::optional<StoreAnswer> answer;
    users_platform::StoreClient client(
        caller.io(), store.address(),
        [&](StoreAnswer&& received) { answer = std::move(received); });
    const std::string text(bytes.reset ? kUploadBytes : 1, 'v');
    client.Call({.token = 1,
                 .call = platform::WriteRequest{
                     .kind = "jobs", .name = "j", .value = '"' + text + '"'}});
    REQUIRE(caller.RunUntil([&] { return answer.has_value(); }));
    CHECK(answer->outcome == StoreOutcome::kUnknown);
  }
}

}  // namespace knapweedstile::users_site
