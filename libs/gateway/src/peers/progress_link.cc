#include "peers/progress_link.h"

#include <boost/json.hpp>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "base/log.h"
#include "peers/peer_client_settings.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

constexpr char kTarget[] = "/progress";
// The item's next update, which replaces this one, is sent within a second.
constexpr std::chrono::milliseconds kSendTimeout{600};

ProgressLink::Updates ParseUpdates(const json::array& list) {
  ProgressLink::Updates updates;
  for (const json::value& element : list) {
    const json::object& update = element.as_object();
    updates.push_back({.job = std::string(update.at("job").as_string()),
                       .item = std::string(update.at("item").as_string()),
                       .last_event = update.at("last").to_number<uint64_t>(),
                       .output = std::string(update.at("output").as_string())});
  }
  return updates;
}

}  // namespace

ProgressLink::ProgressLink(boost::asio::io_context& io,
                           std::function<void(Updates&&)> received)
    : received_(std::move(received)),
      client_(io, PeerClientSettings(), [](http::ClientEvent&& event) {
        const auto* end = std::get_if<http::EndEvent>(&event);
        if (!end || end->outcome == http::ClientOutcome::kComplete) return;
        // Not retried: the item's next update replaces this one.
        LogInfo("progress_not_sent",
                {{"outcome", NameOf(end->outcome)}, {"reason", end->message}});
      }) {}

bool ProgressLink::IsTarget(std::string_view target) {
  return target == kTarget;
}

size_t ProgressLink::Send(const std::string& address, const Updates& updates) {
  json::array list;
  for (const serving::ProgressUpdate& update : updates) {
    list.push_back(json::object{{"job", update.job},
                                {"item", update.item},
                                {"last", update.last_event},
                                {"output", update.output}});
  }
  http::ClientRequest request{.exchange = ExchangeId(++last_exchange_),
                              .address = address,
                              .method = "POST",
                              .target = kTarget,
                              .body = json::serialize(list),
                              .deadline = MonotonicNow() + kSendTimeout};
  request.headers.Add("Host", address);
  const size_t bytes = request.body.size();
  client_.Send(std::move(request));
  return bytes;
}

void ProgressLink::OnRequest(const http::RequestEvent& request) {
  json::error_code ec;
  const json::value parsed = json::parse(request.body, ec);
  // Boost.JSON throws on a missing field or one of another type.
  try {
    if (ec) throw boost::system::system_error(ec);
    received_(ParseUpdates(parsed.as_array()));
  } catch (const std::exception& error) {
    LogWarning("progress_invalid", {{"reason", error.what()}});
  }
}

}  // namespace knapweedstile::gateway
