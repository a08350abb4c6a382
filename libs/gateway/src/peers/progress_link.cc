#include "peers/progress_link.h"

#include <array>
#include <boost/json.hpp>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "base/log.h"
#include "peers/peer_client_settings.h"
#include "peers/record_codec.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;
using serving::ProgressOutcome;

constexpr char kTarget[] = "/progress";
// Outcomes whose updates a response lists, by their positions in the request.
constexpr std::array<ProgressOutcome, 2> kListedOutcomes = {
    ProgressOutcome::kNotKnown, ProgressOutcome::kDeclined};
// The item's next update, which replaces this one, is sent within a second.
constexpr std::chrono::milliseconds kSendTimeout{600};

// Empty in a message of a gateway that does not send the field yet.
std::string TextOf(const json::value* value) {
  return value ? std::string(value->as_string()) : std::string();
}

uint64_t NumberOf(const json::value* value) {
  return value ? value->to_number<uint64_t>() : 0;
}

ProgressLink::Updates ParseUpdates(const json::array& list) {
  ProgressLink::Updates updates;
  for (const json::value& element : list) {
    const json::object& update = element.as_object();
    updates.push_back({.job = std::string(update.at("job").as_string()),
                       .item = std::string(update.at("item").as_string()),
                       .last_event = update.at("last").to_number<uint64_t>(),
                       .after_event = update.at("after").to_number<uint64_t>(),
                       .after_hash = NumberOf(update.if_contains("after_hash")),
                       .service = TextOf(update.if_contains("service")),
                       .software = TextOf(update.if_contains("software")),
                       .output = std::string(update.at("output").as_string())});
  }
  return updates;
}

}  // namespace

ProgressLink::ProgressLink(boost::asio::io_context& io, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      client_(io, PeerClientSettings(),
              [this](http::ClientEvent&& event) { OnEvent(event); }) {}

void ProgressLink::OnEvent(const http::ClientEvent& event) {
  const auto* end = std::get_if<http::EndEvent>(&event);
  if (!end) return;
  const auto sent = sent_.extract(end->exchange);
  if (sent.empty()) return;
  const bool complete = end->outcome == http::ClientOutcome::kComplete;
  if (complete) return ReportNotApplied(sent.mapped(), end->body);
  // Not retried: the item's next update replaces this one.
  LogInfo("progress_not_applied", {{"outcome", NameOf(end->outcome)},
                                   {"items", sent.mapped().size()},
                                   {"reason", end->message}});
  for (const auto& [job, item] : sent.mapped()) {
    callbacks_.not_applied(job, item, ProgressOutcome::kNotKnown);
  }
}

void ProgressLink::ReportNotApplied(const std::vector<SentItem>& sent,
                                    const std::string& response) {
  if (response.empty()) return;
  json::error_code ec;
  const json::value parsed = json::parse(response, ec);
  // Gateways of older versions do not say which updates they have not applied.
  const bool lists = !ec && parsed.is_object();
  if (!lists) {
    LogInfo("progress_not_applied",
            {{"outcome", response}, {"items", sent.size()}});
    for (const auto& [job, item] : sent) {
      callbacks_.not_applied(job, item, ProgressOutcome::kNotKnown);
    }
    return;
  }
  for (const ProgressOutcome outcome : kListedOutcomes) {
    const json::value* list = parsed.get_object().if_contains(NameOf(outcome));
    if (!list || !list->is_array()) continue;
    LogInfo("progress_not_applied", {{"outcome", NameOf(outcome)},
                                     {"items", list->get_array().size()}});
    for (const json::value& position : list->get_array()) {
      if (!position.is_int64()) continue;
      const auto index = static_cast<size_t>(position.get_int64());
      if (index >= sent.size()) continue;
      callbacks_.not_applied(sent[index].job, sent[index].item, outcome);
    }
  }
}

bool ProgressLink::IsTarget(std::string_view target) {
  return target == kTarget;
}

size_t ProgressLink::Send(const std::string& address, const Updates& updates) {
  const ExchangeId exchange(++last_exchange_);
  std::vector<SentItem>& sent = sent_[exchange];
  json::array list;
  for (const serving::ProgressUpdate& update : updates) {
    sent.push_back({update.job, update.item});
    list.push_back(json::object{{"job", update.job},
                                {"item", update.item},
                                {"last", update.last_event},
                                {"after", update.after_event},
                                {"after_hash", update.after_hash},
                                {"service", update.service},
                                {"software", update.software},
                                {"output", update.output}});
  }
  http::ClientRequest request{.exchange = exchange,
                              .address = address,
                              .method = "POST",
                              .target = kTarget,
                              .body = PackText(json::serialize(list)),
                              .deadline = MonotonicNow() + kSendTimeout};
  request.headers.Add("Host", address);
  const size_t bytes = request.body.size();
  client_.Send(std::move(request));
  return bytes;
}

std::string ProgressLink::OnRequest(const http::RequestEvent& request) {
  const std::string text = UnpackText(request.body).value_or(std::string());
  json::error_code ec;
  const json::value parsed = json::parse(text, ec);
  json::object not_applied;
  // Boost.JSON throws on a missing field or one of another type.
  try {
    if (ec) throw boost::system::system_error(ec);
    int64_t position = 0;
    for (serving::ProgressUpdate& update : ParseUpdates(parsed.as_array())) {
      const ProgressOutcome outcome = callbacks_.received(std::move(update));
      if (outcome != ProgressOutcome::kApplied) {
        json::value& list = not_applied[NameOf(outcome)];
        if (!list.is_array()) list = json::array();
        list.get_array().push_back(position);
      }
      ++position;
    }
  } catch (const std::exception& error) {
    LogWarning("progress_invalid", {{"reason", error.what()}});
  }
  return not_applied.empty() ? std::string() : json::serialize(not_applied);
}

}  // namespace knapweedstile::gateway
