#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

using std::chrono::milliseconds;
using Runs = std::vector<ModelServer::Run>;
using Versions = std::vector<std::string>;

constexpr int kEvents = 24;
constexpr int kStreams = 16;

// Two gateways in front of two servers of each of two software versions.
struct TwoVersions {
  Site site;
  std::vector<ModelServer*> servers;

  explicit TwoVersions(const Versions& versions = {"v1", "v2"}) {
    for (const std::string& version : versions) {
      site.software = version;
      Add("i-1-" + version);
      Add("i-2-" + version);
    }
    site.Configure(2);
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }
  void Add(const std::string& instance) {
    ModelServer& server = site.AddServer("llm", instance, kStreams);
    server.events = kEvents;
    server.event_interval = milliseconds(20);
    servers.push_back(&server);
  }
  // Runs of these requests, in order of their start.
  Runs RunsOf(const std::set<std::string>& ids) const {
    Runs all;
    for (const ModelServer* server : servers) {
      for (const auto& run : server->runs()) {
        if (ids.contains(run.request_id)) all.push_back(run);
      }
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
      return a.started_at < b.started_at;
    });
    return all;
  }
  // Runs that continue events of another software version.
  int MixedRuns(const std::set<std::string>& ids) const {
    int mixed = 0;
    std::string version;
    for (const auto& run : RunsOf(ids)) {
      if (run.first_event > 1) mixed += run.software != version;
      version = run.software;
    }
    return mixed;
  }
  http::ClientRequest Stream(const std::string& gateway,
                             const std::string& id) const {
    http::ClientRequest request =
        site.OnlineRequest(gateway, "POST", "/reply/1", id);
    request.stream_body = true;
    return request;
  }
  // Starts streams "s0", "s1", ... and waits until each has brought an event.
  std::vector<ExchangeId> BeginStreams(const std::string& gateway) {
    std::vector<ExchangeId> streams;
    streams.reserve(kStreams);
    for (int i = 0; i < kStreams; ++i) {
      streams.push_back(
          site.caller().Begin(Stream(gateway, "s" + std::to_string(i))));
    }
    REQUIRE(site.caller().RunUntil([&] {
      return std::all_of(streams.begin(), streams.end(), [&](ExchangeId id) {
        return !site.caller().answer(id).streamed.empty();
      });
    }));
    return streams;
  }
  // The caller of stream `number`, which has ended, returns at the gateway.
  http::EndEvent Return(const std::string& gateway, int number,
                        const std::string& events_before,
                        bool names_first_request = true) {
    const std::string id = "s" + std::to_string(number);
    http::ClientRequest request =
        site.OnlineRequest(gateway, "POST", "/reply/1", id + "-again");
    const size_t at = events_before.rfind("\nid: ");
    const std::string last =
        events_before.substr(at == std::string::npos ? 4 : at + 5);
    request.headers.Add("Last-Event-Id", std::to_string(std::stoull(last)));
    if (names_first_request) request.headers.Add("Resumes", id);
    return site.Call(std::move(request));
  }
};

// Drops an event that arrived in part.
std::string WholeEvents(const std::string& text) {
  return text.substr(0, text.rfind("\n\n") + 1);
}

// Two gateways in front of servers of one software version, all of which are
// replaced or joined by servers of another.
struct VersionChange {
  TwoVersions fleet{{"v1"}};
  std::vector<std::string> received;  // by stream

  // Starts streams at the first version; their callers lose them.
  void BreakStreams() {
    const auto streams = fleet.BeginStreams("entry-1");
    for (const ExchangeId id : streams) {
      received.push_back(WholeEvents(fleet.site.caller().answer(id).streamed));
      fleet.site.caller().Cancel(id);
    }
  }
  void ReplaceServers() {
    fleet.site.RemoveServer(*fleet.servers[0]);
    fleet.site.RemoveServer(*fleet.servers[1]);
    AddServers();
  }
  void AddServers() {
    fleet.site.software = "v2";
    fleet.Add("i-1-v2");
    fleet.Add("i-2-v2");
  }
  void KillGateways() {
    for (const char* name : {"entry-1", "entry-2"})
      fleet.site.process(name).Kill();
  }
  void RestartGateways() {
    for (const char* name : {"entry-1", "entry-2"})
      fleet.site.RestartGateway(name);
    REQUIRE(fleet.site.caller().RunUntil([&] {
      return fleet.site.Ready("entry-1") && fleet.site.Ready("entry-2");
    }));
  }
  // The callers return at both gateways, half of them with the id of their
  // first request. Returns how many streams went on.
  int ReturnAll() {
    int served = 0;
    for (int i = 0; i < kStreams; ++i) {
      const std::string id = "s" + std::to_string(i);
      CAPTURE(id);
      const TimePoint sent_at = MonotonicNow();
      const auto end = fleet.Return(i % 2 == 0 ? "entry-1" : "entry-2", i,
                                    received[i], i % 4 < 2);
      CHECK(fleet.MixedRuns({id, id + "-again"}) == 0);
      served += end.status == 200;
      if (end.status == 200) continue;
      CHECK(end.status == 503);
      CHECK(MonotonicNow() - sent_at < milliseconds(500));
      CHECK(fleet.RunsOf({id + "-again"}).empty());
      CHECK(std::stod(std::string(end.headers.Find("Retry-After"))) >= 0.5);
    }
    return served;
  }
};

}  // namespace

// Guards against one answer with events of two software versions.
TEST_CASE("a broken stream goes on at the software version that began it") {
  TwoVersions fleet;
  for (int i = 0; i < kStreams; ++i) {
    for (ModelServer* server : fleet.servers) server->break_after = 3;
    const std::string id = "s" + std::to_string(i);
    const auto end = fleet.site.Call(
        fleet.site.OnlineRequest("entry-1", "POST", "/reply/1", id));
    const bool complete = end.outcome == http::ClientOutcome::kComplete;
    const std::string tail = "word " + std::to_string(kEvents) + "\n\n";
    if (complete) CHECK(end.body.ends_with(tail));
    CHECK(fleet.MixedRuns({id}) == 0);
    for (ModelServer* server : fleet.servers) server->break_after = 0;
  }
}

// Guards against a broken stream that ends although another server of its
// version has room.
TEST_CASE("a broken stream goes on while a server of its version remains") {
  TwoVersions fleet;
  for (int i = 0; i < kStreams; ++i) {
    fleet.servers[i % 2]->break_after = 3;
    fleet.servers[2 + i % 2]->break_after = 3;
    const std::string id = "s" + std::to_string(i);
    const auto end = fleet.site.Call(
        fleet.site.OnlineRequest("entry-1", "POST", "/reply/1", id));
    CHECK(end.outcome == http::ClientOutcome::kComplete);
    CHECK(fleet.MixedRuns({id}) == 0);
  }
}

// Guards against another version when a caller resumes a stream at the gateway
// that began it, or at one that has not seen it.
TEST_CASE("a resumed stream goes on at its software version at any gateway") {
  for (const char* gateway : {"entry-1", "entry-2"}) {
    CAPTURE(gateway);
    TwoVersions fleet;
    const auto streams = fleet.BeginStreams("entry-1");
    std::vector<std::string> received;
    for (const ExchangeId id : streams) {
      received.push_back(WholeEvents(fleet.site.caller().answer(id).streamed));
      fleet.site.caller().Cancel(id);
    }
    for (int i = 0; i < kStreams; ++i) {
      const std::string id = "s" + std::to_string(i);
      const auto end = fleet.Return(gateway, i, received[i]);
      CHECK(end.status == 200);
      CHECK(fleet.MixedRuns({id, id + "-again"}) == 0);
    }
  }
}

// Guards against another version, or none at all, for the streams of a killed
// gateway.
TEST_CASE("streams of a killed gateway go on at their version at another") {
  TwoVersions fleet;
  const auto streams = fleet.BeginStreams("entry-1");
  fleet.site.process("entry-1").Kill();
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "s" + std::to_string(i);
    fleet.site.caller().RunUntilEnd(streams[i]);
    const auto end = fleet.Return(
        "entry-2", i,
        WholeEvents(fleet.site.caller().answer(streams[i]).streamed));
    CHECK(end.status == 200);
    CHECK(fleet.MixedRuns({id, id + "-again"}) == 0);
  }
}

// Guards against a guessed version: no gateway knows the stream.
TEST_CASE("a resumed stream of unknown version is rejected as not run") {
  TwoVersions fleet;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "s" + std::to_string(i);
    const auto end = fleet.Return("entry-2", i, "id: 3\n");
    CHECK(end.status == 503);
    CHECK(fleet.RunsOf({id + "-again"}).empty());
  }
}

// Guards against another version when no server of the stream's version is
// left: the caller is told at once.
TEST_CASE("a resumed stream whose version has left is rejected as not run") {
  TwoVersions fleet;
  const auto streams = fleet.BeginStreams("entry-1");
  std::vector<std::string> received;
  for (const ExchangeId id : streams) {
    received.push_back(WholeEvents(fleet.site.caller().answer(id).streamed));
    fleet.site.caller().Cancel(id);
  }
  fleet.site.RemoveServer(*fleet.servers[0]);
  fleet.site.RemoveServer(*fleet.servers[1]);
  fleet.site.caller().RunFor(milliseconds(300));
  int rejected = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "s" + std::to_string(i);
    const auto end = fleet.Return("entry-2", i, received[i]);
    rejected += end.status == 503;
    CHECK(fleet.MixedRuns({id, id + "-again"}) == 0);
  }
  CHECK(rejected > 0);
  CHECK(rejected < kStreams);
}

// Guards against a stream joined from two versions: the gateways, killed
// together, remember no stream, and the version that is left is not the one
// that began it.
TEST_CASE("streams whose version left in a kill of all gateways are rejected") {
  VersionChange change;
  change.BreakStreams();
  change.KillGateways();
  change.ReplaceServers();
  change.RestartGateways();
  CHECK(change.ReturnAll() == 0);
}

// Guards against a stream joined from two versions: both serve when the
// gateways return.
TEST_CASE("streams of either version are rejected after all gateways' kill") {
  VersionChange change;
  change.BreakStreams();
  change.KillGateways();
  change.AddServers();
  change.RestartGateways();
  CHECK(change.ReturnAll() == 0);
}

// Guards against a stream joined from two versions where its caller does not
// name the first request, and its version has left.
TEST_CASE("the version that is left is not taken for that of a stream") {
  VersionChange change;
  change.BreakStreams();
  change.ReplaceServers();
  change.fleet.site.caller().RunFor(milliseconds(500));
  CHECK(change.ReturnAll() == 0);
}

// Guards against streams that are given up although no other version has
// served.
TEST_CASE("streams of the only version go on after a kill of all gateways") {
  VersionChange change;
  change.BreakStreams();
  change.KillGateways();
  change.RestartGateways();
  CHECK(change.ReturnAll() == kStreams);
}

// Guards against a guessed version in a fleet whose gateways have kept no
// record of versions until now.
TEST_CASE("streams are rejected where nothing tells which versions served") {
  VersionChange change;
  change.BreakStreams();
  change.KillGateways();
  change.fleet.site.store().Remove("knapweedstile-members", "origins");
  change.RestartGateways();
  CHECK(change.ReturnAll() == 0);
}

// Guards against an item's output from two software versions: it goes on at
// its version, and begins again where that one has left.
TEST_CASE("an item's output comes from one software version") {
  for (const bool version_leaves : {false, true}) {
    CAPTURE(version_leaves);
    TwoVersions fleet;
    constexpr int kItems = 12;
    for (ModelServer* server : fleet.servers) server->events = 80;
    REQUIRE(fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", kItems))
                .status == 202);
    REQUIRE(fleet.site.caller().RunUntil([&] {
      size_t runs = 0;
      for (const ModelServer* server : fleet.servers) {
        runs += server->runs().size();
      }
      return runs >= kItems;
    }));
    fleet.site.caller().RunFor(milliseconds(500));
    for (int i = 0; i < (version_leaves ? 2 : 1); ++i) {
      fleet.site.RemoveServer(*fleet.servers[i]);
      fleet.site.RestartServer(*fleet.servers[i],
                               "i-gone-" + std::to_string(i));
    }
    const auto page = fleet.site.WaitForResults("entry-1", "job-a", kItems);
    REQUIRE(page.at("results").as_array().size() == kItems);
    for (const auto& result : page.at("results").as_array()) {
      CHECK(result.at("state") == "completed");
      const std::string output(result.at("output").as_string());
      CHECK(output.starts_with("word 1\nword 2\n"));
      CHECK(output.ends_with("\nword 80"));
      const std::string id(result.at("id").as_string());
      CHECK(fleet.MixedRuns({id}) == 0);
    }
  }
}

}  // namespace knapweedstile::users_site
