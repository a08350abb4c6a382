#include "store/store_update_link.h"

#include <boost/json.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "peers/peer_client_settings.h"
#include "store/stored_object_json.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

constexpr char kTarget[] = "/news";
// Peers respond within milliseconds. One that does not reads the store once a
// peer's report shows that it is behind.
constexpr std::chrono::milliseconds kSendTimeout{600};

}  // namespace

StoreUpdateLink::StoreUpdateLink(boost::asio::io_context& io,
                                 std::function<void(StoreUpdate&&)> received)
    : received_(std::move(received)),
      client_(io, PeerClientSettings(), [](http::ClientEvent&& event) {
        const auto* end = std::get_if<http::EndEvent>(&event);
        if (!end || end->outcome == http::ClientOutcome::kComplete) return;
        LogInfo("news_not_sent",
                {{"outcome", NameOf(end->outcome)}, {"reason", end->message}});
      }) {}

bool StoreUpdateLink::IsTarget(std::string_view target) {
  return target == kTarget;
}

void StoreUpdateLink::Send(const std::vector<std::string>& addresses,
                           const StoreUpdate& update) {
  const std::string body =
      json::serialize(json::object{{"kind", update.kind},
                                   {"after", update.after},
                                   {"digest_before", update.digest_before},
                                   {"as_of", update.as_of},
                                   {"objects", ToJson(update.objects)}});
  for (const std::string& address : addresses) {
    http::ClientRequest request{.exchange = ExchangeId(++last_exchange_),
                                .address = address,
                                .method = "POST",
                                .target = kTarget,
                                .body = body,
                                .deadline = MonotonicNow() + kSendTimeout};
    request.headers.Add("Host", address);
    client_.Send(std::move(request));
  }
}

void StoreUpdateLink::OnRequest(const http::RequestEvent& request) {
  json::error_code ec;
  const json::value parsed = json::parse(request.body, ec);
  // Boost.JSON throws on a missing field or one of another type.
  try {
    if (ec) throw boost::system::system_error(ec);
    const json::object& object = parsed.as_object();
    received_(
        {.kind = std::string(object.at("kind").as_string()),
         .after = object.at("after").to_number<uint64_t>(),
         .digest_before = object.at("digest_before").to_number<uint64_t>(),
         .as_of = object.at("as_of").to_number<uint64_t>(),
         .objects = ObjectsFromJson(object.at("objects").as_array())});
  } catch (const std::exception& error) {
    LogWarning("news_invalid", {{"reason", error.what()}});
  }
}

}  // namespace knapweedstile::gateway
