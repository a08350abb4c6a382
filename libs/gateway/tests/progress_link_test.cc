#include "peers/progress_link.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "base/clock.h"
#include "http/server.h"

namespace knapweedstile::gateway {
namespace {

using serving::ProgressOutcome;

// Two gateways' links: updates that `sender` sends arrive at `receiver`.
struct TwoLinks {
  boost::asio::io_context io;
  std::map<std::string, ProgressOutcome> outcomes;  // by item; else applied
  std::map<std::string, ProgressOutcome> not_applied;
  std::vector<serving::ProgressUpdate> received;
  ProgressLink sender{
      io,
      {.received = [](auto&&) { return ProgressOutcome(); },
       .not_applied =
           [this](const std::string&, const std::string& item,
                  ProgressOutcome outcome) { not_applied[item] = outcome; }}};
  ProgressLink receiver{io,
                        {.received =
                             [this](serving::ProgressUpdate&& update) {
                               received.push_back(update);
                               const auto known = outcomes.find(update.item);
                               return known == outcomes.end()
                                          ? ProgressOutcome::kApplied
                                          : known->second;
                             },
                         .not_applied = [](auto&&...) {}}};
  std::string older_response;  // of a gateway of an older version
  bool responded = false;
  http::Server server{
      io, {}, [this](http::ServerEvent&& event) {
        const auto* request = std::get_if<http::RequestEvent>(&event);
        if (!request) return true;
        std::string body = receiver.OnRequest(*request);
        if (!older_response.empty()) body = older_response;
        server.Execute(http::RespondCommand{.exchange = request->exchange,
                                            .body = std::move(body)});
        responded = true;
        return true;
      }};

  void Send(const std::vector<std::string>& items) {
    const auto port = server.Listen("127.0.0.1:0");
    REQUIRE(port);
    ProgressLink::Updates updates;
    for (const std::string& item : items) {
      updates.push_back({.job = "j",
                         .item = item,
                         .last_event = 3,
                         .after_event = 2,
                         .after_hash = ~uint64_t{0},
                         .software = "v1",
                         .output = "three"});
    }
    sender.Send("127.0.0.1:" + std::to_string(port.value()), updates);
    const TimePoint limit = MonotonicNow() + std::chrono::seconds(30);
    while (!responded && MonotonicNow() < limit) {
      io.run_one_for(std::chrono::milliseconds(10));
    }
    io.run_for(std::chrono::milliseconds(50));
  }
};

}  // namespace

TEST_CASE("the sender learns which updates were not applied") {
  TwoLinks links;
  links.outcomes = {{"b", ProgressOutcome::kNotKnown},
                    {"d", ProgressOutcome::kDeclined}};
  links.Send({"a", "b", "c", "d"});
  CHECK(links.not_applied == links.outcomes);
  REQUIRE(links.received.size() == 4);
  CHECK(links.received[1].item == "b");
  CHECK(links.received[1].after_hash == ~uint64_t{0});
}

TEST_CASE("all updates count as not known to a gateway of an older version") {
  TwoLinks links;
  links.older_response = "not_known";
  links.Send({"a", "b"});
  CHECK(links.not_applied == std::map<std::string, ProgressOutcome>{
                                 {"a", ProgressOutcome::kNotKnown},
                                 {"b", ProgressOutcome::kNotKnown}});
}

}  // namespace knapweedstile::gateway
