#include "request_runner.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "decide/entry_settings.h"
#include "observe/timeline.h"

namespace knapweedstile::node {

// An operator asks for the time line of one request and does not see how it
// ended: the last event was recorded after the request had been forgotten, so
// it carried no request id.
TEST_CASE("the time line of a request holds its end") {
  const TimePoint now(std::chrono::seconds(100));
  observe::Timeline timeline(100);
  std::vector<wire::TransportCommand> sent;
  RequestRunner runner(
      decide::EntrySettings(), 1, timeline,
      [&](wire::TransportCommand&& command) { sent.push_back(command); });
  runner.OnBackendServerUp(now, BackendServerId(7), {"m@"}, "zone");
  const auto submit = [&](uint64_t id, const std::string& name,
                          const std::string& target) {
    decide::RequestInfo info;
    info.id = RequestId(id);
    info.target = target;
    info.max_tokens = 1;
    info.deadline = now + std::chrono::seconds(5);
    pb::RunRequest message;
    message.set_request_id(name);
    runner.Submit(now, std::move(info), std::move(message));
  };
  submit(1, "answered", "m@");
  REQUIRE(sent.size() == 1);
  wire::StreamEvent end;
  end.stream = std::get<wire::OpenStreamCommand>(sent[0]).stream;
  end.event.mutable_finished()->set_status(200);
  end.last = true;
  runner.OnStreamEvent(now, std::move(end));
  submit(2, "refused", "nobody@");

  const std::string events = timeline.EventsJson(0, 100);
  CHECK(events.find(R"("name":"request_finished","request":"answered")") !=
        std::string::npos);
  CHECK(events.find(R"("name":"request_refused","request":"refused")") !=
        std::string::npos);
  CHECK(runner.TakeEvents().size() == 2);
  CHECK(runner.open_requests() == 0);
}

}  // namespace knapweedstile::node
