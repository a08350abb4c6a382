// Five engines and three gateways under load. While the disruption lasts, three
// engines send a second copy of some of their answers, late: in the place of the
// next answer on the same connection. The copy bears the Request-Id of the
// request that it answers.
//
// Rule: a request that is not idempotent runs once at most (TWICE), and one
// that is answered 503 has not run and never runs (REFUSED).

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "users_platform/site.h"

namespace json = boost::json;
using knapweedstile::ExchangeId;
using knapweedstile::users_site::Site;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kGateways = 3;
constexpr int kEngines = 5;
// The first of them are faulty while the disruption lasts: a share of 0.6.
constexpr int kFaultyEngines = 3;
constexpr int kSlots = 4;
constexpr int kQueue = 2;
constexpr int kEvents = 24;
constexpr std::chrono::milliseconds kEventInterval{4};
// The share of answers that the faulty engine sends twice.
constexpr double kExtraShare = 0.03;
// The disruption lasts for 5 s, and comes again 3 s after its end.
constexpr std::chrono::seconds kTroubleLength{5};
constexpr std::chrono::seconds kTroublePeriod{8};
constexpr int kTrafficSeconds = 72;
// requests a second; the engines can do 200.
constexpr double kRate = 192;

const Clock::time_point g_start = Clock::now();
std::mutex g_record_mutex;
std::ofstream g_record;

template <typename... Parts>
void Record(const Parts&... parts) {
  const double at =
      std::chrono::duration<double>(Clock::now() - g_start).count();
  std::lock_guard lock(g_record_mutex);
  g_record.precision(3);
  g_record << std::fixed << at;
  ((g_record << ' ' << parts), ...);
  g_record << '\n';
}

// An engine: one thread a connection. It answers one request at a time on a
// connection, runs kSlots requests at once, queues kQueue more and rejects the
// others with 503 and Not-Executed. All its answers echo the Request-Id.
class Engine {
 public:
  Engine(std::string instance, bool faulty, uint64_t seed)
      : instance_(std::move(instance)), faulty_(faulty), rng_(seed) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::listen(listener_, 512);
    socklen_t size = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    std::thread([this] { AcceptAll(); }).detach();
  }

  const std::string& instance() const { return instance_; }
  const std::string& address() const { return address_; }
  // Request ids with the engines that ran them, one for each run.
  static std::multimap<std::string, std::string> Runs() {
    std::lock_guard lock(runs_mutex_);
    return runs_;
  }
  std::atomic<int> answers{0};
  std::atomic<int> rejections{0};
  std::atomic<int> copies_sent{0};
  std::atomic<int> rejection_copies_sent{0};

 private:
  struct Request {
    std::string id;
    std::string expected_instance;
  };

  void AcceptAll() {
    while (true) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  static bool Send(int fd, const std::string& data) {
    size_t sent = 0;
    while (sent < data.size()) {
      const ssize_t n =
          ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  static std::string HeaderOf(const std::string& head, const std::string& name) {
    const size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  static bool Read(int fd, std::string& buffer, Request& request) {
    char chunk[16384];
    size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      const ssize_t n = ::recv(fd, chunk, sizeof(chunk), 0);
      if (n <= 0) return false;
      buffer.append(chunk, static_cast<size_t>(n));
    }
    const std::string head = buffer.substr(0, end + 2);
    const std::string length = HeaderOf(head, "Content-Length");
    const size_t body = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < end + 4 + body) {
      const ssize_t n = ::recv(fd, chunk, sizeof(chunk), 0);
      if (n <= 0) return false;
      buffer.append(chunk, static_cast<size_t>(n));
    }
    buffer.erase(0, end + 4 + body);
    request = {HeaderOf(head, "Request-Id"), HeaderOf(head, "Expect-Instance")};
    return true;
  }

  bool Draw() {
    const auto into = (Clock::now() - g_start) % kTroublePeriod;
    if (!faulty_ || into >= kTroubleLength) return false;
    std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(rng_) < kExtraShare;
  }

  // Waits for a slot; false if the queue is full.
  bool TakeSlot() {
    std::unique_lock lock(mutex_);
    if (running_ >= kSlots) {
      if (waiting_ >= kQueue) return false;
      ++waiting_;
      freed_.wait(lock, [this] { return running_ < kSlots; });
      --waiting_;
    }
    ++running_;
    return true;
  }

  void FreeSlot() {
    {
      std::lock_guard lock(mutex_);
      --running_;
    }
    freed_.notify_one();
  }

  // Runs the request; returns the whole answer, empty if the caller has left.
  std::string Run(int fd, const Request& request) {
    {
      std::lock_guard lock(runs_mutex_);
      runs_.emplace(request.id, instance_);
    }
    Record("run", request.id, "at", instance_);
    std::string answer =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id +
        "\r\nResponse-Signature: by-" + instance_ +
        "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
        "chunked\r\n\r\n";
    bool open = true;
    for (int event = 1; event <= kEvents && open; ++event) {
      std::this_thread::sleep_for(kEventInterval);
      const std::string data = "id: " + std::to_string(event) + "\ndata: word " +
                               std::to_string(event) + " of " + request.id +
                               "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
      const std::string chunk = size + data + "\r\n";
      open = Send(fd, event == 1 ? answer + chunk : chunk);
      answer += chunk;
      char byte;
      const ssize_t n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN)) open = false;
    }
    const std::string last = "0\r\n\r\n";
    if (open) open = Send(fd, last);
    return open ? answer + last : std::string();
  }

  void Serve(int fd) {
    std::string buffer;
    std::string copy;  // of the answer before, still to be sent
    std::string copy_of;
    bool copies_rejection = false;
    Request request;
    while (Read(fd, buffer, request)) {
      if (!copy.empty()) {
        ++copies_sent;
        if (copies_rejection) ++rejection_copies_sent;
        Record("extra", copies_rejection ? "503" : "200", "of", copy_of, "at",
               instance_, "before the answer to", request.id);
        if (!Send(fd, copy)) break;
        copy.clear();
      }
      std::string answer;
      bool rejected = false;
      if (!request.expected_instance.empty() &&
          request.expected_instance != instance_) {
        answer =
            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request.id +
            "\r\nInstance-Id: " + instance_ + "\r\nContent-Length: 0\r\n\r\n";
        if (!Send(fd, answer)) break;
      } else if (!TakeSlot()) {
        rejected = true;
        ++rejections;
        Record("rejected", request.id, "at", instance_);
        answer =
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + request.id +
            "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        if (!Send(fd, answer)) break;
      } else {
        answer = Run(fd, request);
        FreeSlot();
        if (answer.empty()) break;
      }
      ++answers;
      if (Draw()) {
        copy = answer;
        copy_of = request.id;
        copies_rejection = rejected;
      }
    }
    ::close(fd);
  }

  std::string instance_;
  bool faulty_;
  std::mt19937_64 rng_;
  int listener_ = -1;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;

  static inline std::mutex runs_mutex_;
  static inline std::multimap<std::string, std::string> runs_;
};

int Play(bool trouble) {
  Site site;
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<Engine>(
        "engine-" + std::to_string(i + 1), trouble && i < kFaultyEngines, 1 + i));
    site.store().Put("servers", engines.back()->instance(),
                     json::object{{"service", "llm"},
                                  {"address", engines.back()->address()},
                                  {"zone", "zone-a"},
                                  {"version", "v1"},
                                  {"slots", kSlots},
                                  {"state", "ready"},
                                  {"cold_remaining_ms", 0},
                                  {"sequence", 1}});
  }
  site.Configure(1);
  std::vector<std::string> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back("front-" + std::to_string(i + 1));
    site.AddGateway(gateways.back());
  }
  site.caller().RunFor(std::chrono::seconds(2));

  std::mt19937_64 rng(7);
  std::map<uint64_t, std::string> sent;  // exchange to request id
  std::map<std::string, unsigned> statuses;
  const auto begin = Clock::now();
  const auto end = begin + std::chrono::seconds(kTrafficSeconds);
  auto next = begin;
  uint64_t number = 0;
  const auto collect = [&] {
    for (auto at = sent.begin(); at != sent.end();) {
      const auto& answer = site.caller().answer(ExchangeId(at->first));
      if (!answer.end) {
        ++at;
        continue;
      }
      const bool complete = answer.end->outcome ==
                            knapweedstile::http::ClientOutcome::kComplete;
      const unsigned status = complete ? answer.end->status : 0;
      statuses[at->second] = status;
      Record("answered", at->second, status);
      at = sent.erase(at);
    }
  };
  while (Clock::now() < end) {
    if (Clock::now() >= next) {
      const std::string id = "r" + std::to_string(100000 + ++number);
      const std::string& gateway = gateways[rng() % gateways.size()];
      Record("sent", id, "to", gateway);
      const ExchangeId exchange = site.caller().Begin(
          site.OnlineRequest(gateway, "POST", "/query/" + id, id, 3000));
      sent[exchange.value()] = id;
      next += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(
              std::exponential_distribution<double>(kRate)(rng)));
    }
    site.caller().RunFor(std::chrono::milliseconds(1));
    collect();
  }
  for (int i = 0; i < 500 && !sent.empty(); ++i) {
    site.caller().RunFor(std::chrono::milliseconds(10));
    collect();
  }
  site.caller().RunFor(std::chrono::seconds(1));

  const auto runs = Engine::Runs();
  int twice = 0;
  int refused = 0;
  int served = 0;
  for (const auto& [id, status] : statuses) {
    const size_t count = runs.count(id);
    if (status == 200) ++served;
    if (count > 1) {
      ++twice;
      std::string where;
      const auto [first, last] = runs.equal_range(id);
      for (auto at = first; at != last; ++at) where += " " + at->second;
      Record("BROKEN TWICE", id, "ran at" + where + "; the client got", status);
    }
    if (count > 0 && (status == 503 || status == 429)) {
      ++refused;
      Record("BROKEN REFUSED", id, "ran, and the client got", status);
    }
  }
  int answers = 0;
  int rejections = 0;
  int faulty_answers = 0;
  int copies = 0;
  int rejection_copies = 0;
  for (int i = 0; i < kEngines; ++i) {
    answers += engines[i]->answers;
    rejections += engines[i]->rejections;
    copies += engines[i]->copies_sent;
    rejection_copies += engines[i]->rejection_copies_sent;
    if (i < kFaultyEngines) faulty_answers += engines[i]->answers;
  }
  std::ostringstream summary;
  summary << "requests " << statuses.size() << ", served " << served
          << ", answers of engines " << answers << ", rejections of engines "
          << rejections << ", answers of the first three engines "
          << faulty_answers << ", extra answers sent " << copies
          << " (of rejections " << rejection_copies << "), run twice " << twice
          << ", answered 503 though run " << refused;
  Record(summary.str());
  std::cout << summary.str() << std::endl;
  for (auto& engine : engines) engine.release();  // its threads go on
  // A run that shows nothing: no load, or nothing was served.
  if (served < static_cast<int>(statuses.size()) / 4 || statuses.empty())
    return 2;
  return twice > 0 || refused > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  g_record.open(argv[1]);
  const char* trouble = std::getenv("TROUBLE");
  int result = 2;
  try {
    result = Play(!trouble || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  g_record.flush();
  // The engines' threads wait for requests that no longer come.
  std::_Exit(result);
}
