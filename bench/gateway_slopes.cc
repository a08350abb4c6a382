// What a gateway costs by what it serves and by how many others there are:
// processor time and memory of real processes on loopback. The table feeds
// docs/CAPACITY.md.

#include <fmt/core.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "peers/peer_state.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

constexpr double kMillis = 1000;
constexpr double kMicros = 1e6;

struct Usage {
  double processor_seconds = 0;
  double megabytes = 0;
};

// Of one process, by the kernel's own account.
Usage UsageOf(int id) {
  std::ifstream stat(fmt::format("/proc/{}/stat", id));
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> words;
  for (std::string word; fields >> word;) words.push_back(word);
  // Fields 14 and 15 of the whole line are user and system time, 24 the pages.
  const double ticks = std::stod(words[11]) + std::stod(words[12]);
  const double pages = std::stod(words[21]);
  return {ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)),
          pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20)};
}

class Fleet {
 public:
  Fleet(int gateways, int servers) {
    for (int i = 0; i < servers; ++i) {
      site_.AddServer("llm", fmt::format("i-{}", i), 8).events = 24;
    }
    site_.AddServer("app", "p-1", 8);
    site_.Configure(2, {{"max_count", 0}});
    names_.reserve(static_cast<size_t>(gateways));
    for (int i = 0; i < gateways; ++i) {
      names_.push_back(fmt::format("gateway-{}", i));
      site_.StartGateway(names_.back());
    }
    for (const std::string& name : names_) {
      site_.caller().RunUntil([&] { return site_.Ready(name); });
    }
    site_.caller().RunFor(std::chrono::seconds(3));
  }
  Usage First() { return UsageOf(site_.process(names_.front()).id()); }
  Site& site() { return site_; }
  const std::string& name() const { return names_.front(); }

 private:
  Site site_;
  std::vector<std::string> names_;
};

void MeasureIdle(int gateways) {
  constexpr int kSeconds = 5;
  Fleet fleet(gateways, 10);
  const Usage before = fleet.First();
  fleet.site().caller().RunFor(std::chrono::seconds(kSeconds));
  const Usage after = fleet.First();
  const double share =
      (after.processor_seconds - before.processor_seconds) / kSeconds;
  fmt::print("idle, {:>3} gateways: {:5.2f}% of a core, {:5.1f} MB\n", gateways,
             share * 100, after.megabytes);
}

// Requests one after another in `lanes` lanes; microseconds of processor time
// of the gateway for each.
void MeasureRequests(const char* title, const char* method, const char* target,
                     int requests, int lanes) {
  Fleet fleet(1, 10);
  const Usage before = fleet.First();
  for (int sent = 0; sent < requests; sent += lanes) {
    std::vector<ExchangeId> lane;
    lane.reserve(static_cast<size_t>(lanes));
    for (int i = 0; i < lanes; ++i) {
      lane.push_back(fleet.site().caller().Begin(fleet.site().Online(
          fleet.name(), method, target, fmt::format("r{}", sent + i))));
    }
    for (const ExchangeId id : lane) fleet.site().caller().RunUntilEnd(id);
  }
  const Usage after = fleet.First();
  fmt::print("{}: {:.0f} us of processor time a request\n", title,
             (after.processor_seconds - before.processor_seconds) * kMicros /
                 requests);
}

void MeasureJobs(int jobs, int items) {
  Fleet fleet(1, 10);
  const Usage before = fleet.First();
  for (int i = 0; i < jobs; ++i) {
    fleet.site().Call(
        fleet.site().Job(fleet.name(), fmt::format("job-{}", i), items));
  }
  for (int i = 0; i < jobs; ++i) {
    fleet.site().WaitForResults(fleet.name(), fmt::format("job-{}", i),
                                static_cast<size_t>(items));
  }
  const Usage after = fleet.First();
  fmt::print(
      "items of 24 events: {:.2f} ms of processor time and {:.1f} KB "
      "kept each\n",
      (after.processor_seconds - before.processor_seconds) * kMillis /
          (jobs * items),
      (after.megabytes - before.megabytes) * 1024 / (jobs * items));
}

// Bytes of what a gateway tells another.
void MeasureMessages() {
  for (const int servers : {10, 40, 100}) {
    gateway::PeerState state;
    state.entry = "front-bern-a-1";
    state.start = 1764720000000000000;
    state.sequence = 1000000;
    state.configuration = 1000;
    state.servers_revision = 1000000;
    for (int i = 0; i < servers; ++i) {
      state.usage[serving::ServerProcessId(Hash64(std::to_string(i)))] = {3, 1};
      state.running_items.push_back(0x9c41d07be2a35f68 + i);
    }
    const size_t whole = EncodePeerState(state).size();
    state.running_items.clear();
    state.usage.clear();
    state.usage[serving::ServerProcessId(Hash64("server"))] = {3, 1};
    fmt::print(
        "a gateway's whole state with {:>3} servers in use: {} bytes; "
        "one change: {} bytes\n",
        servers, whole, EncodePeerState(state).size());
  }
}

}  // namespace
}  // namespace knapweedstile::users_site

int main() {
  using namespace knapweedstile::users_site;  // NOLINT
  MeasureMessages();
  for (const int gateways : {1, 5, 21, 60, 100}) MeasureIdle(gateways);
  MeasureRequests("a plain call", "GET", "/ping/1", 4000, 10);
  MeasureRequests("a stream of 24 events", "POST", "/query/1", 2000, 10);
  MeasureJobs(20, 50);
  return 0;
}
