#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

constexpr char kFiveEvents[] =
    "id: 1\ndata: word 1\n\nid: 2\ndata: word 2\n\nid: 3\ndata: word 3\n\n"
    "id: 4\ndata: word 4\n\nid: 5\ndata: word 5\n\n";
constexpr char kFirstEvent[] = "id: 1\ndata: word 1\n\n";

// Bytes without end: `start`, in which ID stands for the request's id, and then
// `unit` again and again.
struct EndlessBytes {
  const char* name;
  std::string start;
  std::string unit;
};

std::vector<EndlessBytes> AllEndlessBytes() {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: signed\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"head", head, "X-Fill: a\r\n"},
      {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
       "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to other requests", "",
       "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nold"},
      {"error body",
       "HTTP/1.1 500 X\r\nRequest-Id: ID\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       "4\r\naaaa\r\n"},
      {"chunk extension", chunked + "1;a=", "a"},
      {"body without line ends", head + "\r\n" + kFirstEvent + "data: ", "a"},
      {"body of lines", head + "\r\n" + kFirstEvent, "neither field nor end\n"},
      {"comments in chunks", chunked + "14\r\n" + kFirstEvent + "\r\n",
       "10\r\n: and a comment\n\r\n2\r\n\n\n\r\n"},
      {"events without id", head + "\r\n" + kFirstEvent, "data: a\n\n"}};
}

// A server that answers each request with such bytes, until the connection is
// closed.
class EndlessServer {
 public:
  EndlessServer(boost::asio::io_context& io, const EndlessBytes& bytes)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        start_(bytes.start) {
    constexpr size_t kBlockBytes = 64 << 10;
    while (block_.size() < kBlockBytes) block_ += bytes.unit;
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  size_t requests() const noexcept { return requests_; }
  size_t open() const noexcept { return requests_ - closed_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  // Bounds the memory of a reader without limits.
  static constexpr uint64_t kMaxSentBytes = 1ULL << 30;

  struct Connection {
    Socket socket;
    std::string input;
    std::string start;
  };

  void Accept() {
    acceptor_.async_accept([this](const auto& ec, Socket accepted) {
      if (ec) return;
      auto connection =
          std::make_shared<Connection>(Connection{std::move(accepted)});
      boost::asio::async_read_until(
          connection->socket, boost::asio::dynamic_buffer(connection->input),
          "\r\n\r\n", [this, connection](const auto& read_ec, size_t) {
            if (!read_ec) Answer(connection);
          });
      Accept();
    });
  }
  void Answer(const std::shared_ptr<Connection>& connection) {
    ++requests_;
    const std::string& head = connection->input;
    const size_t at = head.find("Request-Id: ") + 12;
    connection->start = start_;
    const size_t id = start_.find("ID\r\n");
    if (id != std::string::npos) {
      connection->start.replace(id, 2,
                                head.substr(at, head.find('\r', at) - at));
    }
    Write(connection, connection->start);
  }
  void Write(const std::shared_ptr<Connection>& connection,
             const std::string& bytes) {
    boost::asio::async_write(connection->socket, boost::asio::buffer(bytes),
                             [this, connection](const auto& ec, size_t count) {
                               sent_bytes_ += count;
                               if (ec) {
                                 ++closed_;
                               } else if (sent_bytes_ < kMaxSentBytes) {
                                 Write(connection, block_);
                               } else {
                                 AwaitClose(connection);
                               }
                             });
  }
  void AwaitClose(const std::shared_ptr<Connection>& connection) {
    connection->input.resize(1 << 10);
    connection->socket.async_read_some(
        boost::asio::buffer(connection->input),
        [this, connection](const auto& ec, size_t) {
          if (ec) {
            ++closed_;
          } else {
            AwaitClose(connection);
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string start_;
  std::string block_;
  size_t requests_ = 0;
  size_t closed_ = 0;
  uint64_t sent_bytes_ = 0;
};

// One gateway in front of a sound server of each kind and an endless one.
struct EndlessFleet {
  static constexpr int kSlots = 60;
  // Room for all requests, so that each may be sent again.
  static constexpr int kSoundSlots = 120;
  Site site;
  EndlessServer endless;

  explicit EndlessFleet(const EndlessBytes& bytes)
      : endless(site.caller().io(), bytes) {
    for (const char* service : {"llm", "app"}) {
      site.AddServer(service, std::string("i-") + service, kSoundSlots);
      site.store().Put("servers", std::string("e-") + service,
                       boost::json::object{{"service", service},
                                           {"address", endless.address()},
                                           {"zone", "zone-a"},
                                           {"version", "v1"},
                                           {"slots", kSlots},
                                           {"state", "ready"},
                                           {"sequence", 1}});
    }
    site.Configure(2);
    site.AddGateway("entry-1");
  }

  struct Reply {
    http::EndEvent end;
    std::string streamed;
    Duration age{};
  };
  // Sends that many requests at once and waits for their ends.
  std::vector<Reply> CallAll(const std::string& method, const std::string& path,
                             int count) {
    harness::Caller& caller = site.caller();
    std::vector<ExchangeId> sent;
    std::vector<Reply> replies(count);
    const TimePoint start = MonotonicNow();
    for (int i = 0; i < count; ++i) {
      const std::string name = std::to_string(++request_count);
      auto request =
          site.OnlineRequest("entry-1", method, path + name, "r" + name);
      request.stream_body = true;
      sent.push_back(caller.Begin(std::move(request)));
    }
    size_t ended = 0;
    caller.RunUntil([&] {
      for (int i = 0; i < count; ++i) {
        const harness::Answer& answer = caller.answer(sent[i]);
        if (replies[i].age != Duration{} || !answer.end) continue;
        replies[i] = {*answer.end, answer.streamed, MonotonicNow() - start};
        ++ended;
      }
      return ended == sent.size();
    });
    return replies;
  }
  uint64_t PeakMemoryBytes() {
    std::ifstream status(
        "/proc/" + std::to_string(site.process("entry-1").id()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmHWM:")) return std::stoull(line.substr(6)) << 10;
    }
    return 0;
  }
  int request_count = 0;
};

// The smallest gateways have 192 MB for everything.
constexpr uint64_t kMaxMemoryBytes = 192'000'000;
constexpr int kRequests = 100;
// The shorter one of the routes' timeouts: bytes without end keep no request
// until its timeout.
constexpr std::chrono::milliseconds kMaxAge{2000};

bool IsComplete(const EndlessFleet::Reply& reply) {
  return reply.end.outcome == http::ClientOutcome::kComplete &&
         reply.end.status == 200;
}

// Whether the response tells that the request may have been executed.
bool MayHaveRun(const EndlessFleet::Reply& reply) {
  const bool failed = reply.end.status == 502 || reply.end.status == 500;
  return failed && reply.end.headers.Find("Not-Executed").empty();
}

void CheckGateway(EndlessFleet& fleet) {
  CHECK(fleet.endless.requests() > 0);
  CHECK(fleet.PeakMemoryBytes() < kMaxMemoryBytes);
  CHECK(
      fleet.site.caller().RunUntil([&] { return fleet.endless.open() == 0; }));
}

}  // namespace

// Guards against a server that sends bytes without end, which fill the
// gateway's memory and keep requests waiting although other servers are sound.
TEST_CASE(
    "requests that get bytes without end are repeated at another server") {
  for (const EndlessBytes& bytes : AllEndlessBytes()) {
    CAPTURE(bytes.name);
    EndlessFleet fleet(bytes);
    for (const auto& reply : fleet.CallAll("GET", "/ping/", kRequests)) {
      CHECK(IsComplete(reply));
      CHECK(reply.streamed == "plain answer");
      CHECK(reply.age < kMaxAge);
    }
    for (const auto& reply : fleet.CallAll("POST", "/reply/", kRequests)) {
      CHECK(IsComplete(reply));
      CHECK(reply.streamed == kFiveEvents);
      CHECK(reply.age < kMaxAge);
    }
    CheckGateway(fleet);
  }
}

// Guards against bytes without end that are passed on as a response, or that
// keep a request waiting until its deadline though it can't be repeated.
TEST_CASE("requests that get bytes without end fail at once") {
  for (const EndlessBytes& bytes : AllEndlessBytes()) {
    CAPTURE(bytes.name);
    EndlessFleet fleet(bytes);
    size_t failed = 0;
    for (const auto& reply : fleet.CallAll("GET", "/book/", kRequests)) {
      const bool answered =
          IsComplete(reply) && reply.streamed == "plain answer";
      failed += !answered;
      CHECK((answered || MayHaveRun(reply)));
      CHECK(reply.age < kMaxAge);
    }
    CHECK(failed > 0);
    failed = 0;
    const std::string events = kFiveEvents;
    for (const auto& reply : fleet.CallAll("POST", "/query/", kRequests)) {
      failed += !IsComplete(reply);
      CHECK(reply.age < kMaxAge);
      if (IsComplete(reply)) {
        CHECK(reply.streamed == events);
      } else if (reply.end.status == 200) {
        CHECK(events.starts_with(reply.streamed));
      } else {
        CHECK((reply.end.status == 0 || MayHaveRun(reply)));
      }
    }
    CHECK(failed > 0);
    CheckGateway(fleet);
  }
}

// Guards against items that are lost, or whose output is not that of a server's
// events, after bytes without end.
TEST_CASE("items that get bytes without end complete at another server") {
  constexpr int kItems = 40;
  const std::string output = "word 1\nword 2\nword 3\nword 4\nword 5";
  for (const EndlessBytes& bytes : AllEndlessBytes()) {
    CAPTURE(bytes.name);
    EndlessFleet fleet(bytes);
    REQUIRE(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", kItems))
                .status == 202);
    const auto page = fleet.site.WaitForResults("entry-1", "job-a", kItems);
    CHECK(page.at("results").as_array().size() == kItems);
    for (const auto& result : page.at("results").as_array()) {
      CHECK(result.at("output").as_string() == output.c_str());
    }
    CheckGateway(fleet);
  }
}

}  // namespace knapweedstile::users_site
