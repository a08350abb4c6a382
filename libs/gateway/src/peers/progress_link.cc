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
// The next notes follow within a second.
constexpr std::chrono::milliseconds kSendTimeout{600};

ProgressLink::Updates ReadNotes(const json::array& list) {
  ProgressLink::Updates notes;
  for (const json::value& entry : list) {
    const json::object& note = entry.as_object();
    notes.push_back({.job = std::string(note.at("job").as_string()),
                     .item = std::string(note.at("item").as_string()),
                     .last_event = note.at("last").to_number<uint64_t>(),
                     .output = std::string(note.at("output").as_string())});
  }
  return notes;
}

}  // namespace

ProgressLink::ProgressLink(boost::asio::io_context& io,
                           std::function<void(Updates&&)> received)
    : received_(std::move(received)),
      client_(io, PeerClientSettings(), [](http::ClientEvent&& event) {
        const auto* end = std::get_if<http::EndEvent>(&event);
        if (!end || end->outcome == http::ClientOutcome::kComplete) return;
        // The next notes make up for it.
        LogInfo("progress_not_sent",
                {{"outcome", NameOf(end->outcome)}, {"reason", end->message}});
      }) {}

bool ProgressLink::IsTarget(std::string_view target) {
  return target == kTarget;
}

void ProgressLink::Send(const std::string& address, const Updates& notes) {
  json::array list;
  for (const serving::ProgressUpdate& note : notes) {
    list.push_back(json::object{{"job", note.job},
                                {"item", note.item},
                                {"last", note.last_event},
                                {"output", note.output}});
  }
  http::ClientRequest request{.exchange = ExchangeId(++last_exchange_),
                              .address = address,
                              .method = "POST",
                              .target = kTarget,
                              .body = json::serialize(list),
                              .deadline = MonotonicNow() + kSendTimeout};
  request.headers.Add("Host", address);
  client_.Send(std::move(request));
}

void ProgressLink::OnRequest(const http::RequestEvent& request) {
  json::error_code ec;
  const json::value parsed = json::parse(request.body, ec);
  // The library reports a missing or mistyped field by an exception.
  try {
    if (ec) throw boost::system::system_error(ec);
    received_(ReadNotes(parsed.as_array()));
  } catch (const std::exception& error) {
    LogWarning("progress_invalid", {{"reason", error.what()}});
  }
}

}  // namespace knapweedstile::gateway
