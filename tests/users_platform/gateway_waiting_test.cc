#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

using std::chrono::milliseconds;

// One gateway before one model server of four slots, whose streams last 0.1 s.
struct FullServer {
  static constexpr int kSlots = 4;

  Site site;
  ModelServer& server;
  std::vector<ExchangeId> sent;

  FullServer() : server(site.AddServer("llm", "i-1", kSlots)) {
    server.slots = kSlots;
    server.events = 10;
    server.event_interval = milliseconds(10);
    site.Configure(2);
    site.AddGateway("entry-1");
  }
  ExchangeId Send() {
    sent.push_back(site.caller().Begin(site.OnlineRequest(
        "entry-1", "POST", "/query/1", "r" + std::to_string(sent.size()))));
    return sent.back();
  }
  // One and a half times as many requests as slots become free.
  void Overload(int requests) {
    for (int i = 0; i < requests; ++i) {
      Send();
      site.caller().RunFor(milliseconds(16));
    }
  }
  // Streams go on so slowly that no slot becomes free.
  void Freeze() { server.event_interval = milliseconds(300); }
  void Unfreeze() { server.event_interval = milliseconds(10); }
  bool OverloadUntilOneWaits() {
    for (int i = 0; i < 60; ++i) {
      if (Metric("knap_waiting") > 0) return true;
      Overload(1);
    }
    return false;
  }
  bool Ran(const std::string& id) const {
    return std::any_of(server.runs().begin(), server.runs().end(),
                       [&](const auto& run) { return run.request_id == id; });
  }
  // The last one without an answer that has not reached the server.
  size_t LastThatWaits() {
    size_t i = sent.size();
    while (i-- > 0) {
      const bool open = !site.caller().answer(sent[i]).end.has_value();
      if (open && !Ran("r" + std::to_string(i))) break;
    }
    return i;
  }
  bool AllEnded() {
    return site.caller().RunUntil([&] {
      return std::all_of(sent.begin(), sent.end(), [&](ExchangeId exchange) {
        return site.caller().answer(exchange).end.has_value();
      });
    });
  }
  size_t CountStatus(unsigned status) {
    return std::count_if(sent.begin(), sent.end(), [&](ExchangeId exchange) {
      return site.caller().answer(exchange).end->status == status;
    });
  }
  // Value of a metric without labels; zero if it is not there.
  double Metric(const std::string& name) {
    const std::string text = site.Metrics("entry-1");
    const size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::stod(text.substr(at + name.size() + 2));
  }
};

}  // namespace

// Guards against rejections that are untrue, and against requests that wait
// without being served: each runs once, or is rejected with a time to return.
TEST_CASE("beyond all slots some requests wait, others are asked to return") {
  FullServer fleet;
  fleet.Overload(120);
  REQUIRE(fleet.AllEnded());
  const size_t served = fleet.CountStatus(200);
  const size_t rejected = fleet.CountStatus(503);
  CHECK(served + rejected == fleet.sent.size());
  CHECK(served == fleet.server.runs().size());
  CHECK(served > 60);
  CHECK(rejected > 0);
  CHECK(fleet.Metric("knap_waited_seconds_count") > 0);
  CHECK(fleet.Metric("knap_waiting") == 0);
  CHECK(fleet.Metric("knap_returns_promised") > 0);
  for (const ExchangeId exchange : fleet.sent) {
    const auto& end = *fleet.site.caller().answer(exchange).end;
    if (end.status != 503) continue;
    const double after =
        std::stod(std::string(end.headers.Find("Retry-After")));
    CHECK(after > 0);
    CHECK(after <= 5.0 / 3 + 0.01);
  }
}

// Guards against slots for callers who have left.
TEST_CASE("a caller that leaves while it waits is never served") {
  FullServer fleet;
  fleet.Overload(60);
  fleet.Freeze();
  REQUIRE(fleet.OverloadUntilOneWaits());
  const size_t left = fleet.LastThatWaits();
  REQUIRE(left < fleet.sent.size());
  fleet.site.caller().Cancel(fleet.sent[left]);
  const std::string id = "r" + std::to_string(left);
  fleet.Unfreeze();
  fleet.Overload(60);
  fleet.sent.erase(fleet.sent.begin() + static_cast<ptrdiff_t>(left));
  REQUIRE(fleet.AllEnded());
  CHECK_FALSE(fleet.Ran(id));
  CHECK(fleet.CountStatus(200) == fleet.server.runs().size());
  CHECK(fleet.Metric("knap_waiting") == 0);
  CHECK(fleet.Metric("knap_online_open") == 0);
}

// Guards against waiting for a server that is no longer there.
TEST_CASE("nobody waits for a removed server") {
  FullServer fleet;
  fleet.Overload(60);
  fleet.Freeze();
  REQUIRE(fleet.OverloadUntilOneWaits());
  fleet.site.RemoveServer(fleet.server);
  fleet.Unfreeze();
  for (int i = 0; i < 20; ++i) {
    const ExchangeId exchange = fleet.Send();
    if (i % 4 == 0) {
      fleet.site.caller().RunFor(milliseconds(4));
      fleet.site.caller().Cancel(exchange);
      fleet.sent.pop_back();
    }
  }
  REQUIRE(fleet.AllEnded());
  CHECK(fleet.CountStatus(200) + fleet.CountStatus(503) == fleet.sent.size());
  CHECK(fleet.Metric("knap_waiting") == 0);
  CHECK(fleet.Metric("knap_online_open") == 0);
}

// Guards against a backoff that is taken for a service without slots: one
// rejection as full would end the waiting of all.
TEST_CASE("others wait on while the only server is in backoff") {
  FullServer fleet;
  const std::string no_rate = "knap_wait_rejected_total{cause=\"no_rate\"}";
  fleet.Overload(60);
  const double before = fleet.Metric(no_rate);
  fleet.server.reject_next = 3;
  fleet.Overload(40);
  REQUIRE(fleet.server.reject_next == 0);
  REQUIRE(fleet.AllEnded());
  CHECK(fleet.Metric("knap_waited_seconds_count") > 0);
  CHECK(fleet.Metric(no_rate) == before);
}

}  // namespace knapweedstile::users_site
