#include "users_platform/object_store.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/url.hpp>
#include <utility>

#include "base/clock.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;

constexpr char kListen[] = "127.0.0.1:0";
// Objects on one page; small, so that tests need more than one page.
constexpr size_t kPageSize = 5;
// Events in one response to a watch; the next response has the rest.
constexpr size_t kMaxWatchEvents = 500;

// Offset of the exchange ids of the second server, which start at the same
// number as those of the first.
constexpr uint64_t kSecondServerOffset = 1ULL << 40;

std::string ListenOnLoopback(http::Server& server) {
  const uint16_t port = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<uint16_t> { return server.Listen(kListen); },
      [] { return uint16_t{0}; });
  return "127.0.0.1:" + std::to_string(port);
}

// Name of the object that a request with this body creates.
std::string NewName(const std::string& body) {
  const json::value object = json::parse(body);
  return std::string(object.at("metadata").at("name").as_string());
}

uint64_t ParseNumber(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

ObjectStore::ObjectStore(boost::asio::io_context& io)
    : io_(io),
      server_(io, {},
              [this](http::ServerEvent&& event) {
                return OnEvent(std::move(event));
              }),
      second_server_(io, {}, [this](http::ServerEvent&& event) {
        return OnSecondEvent(std::move(event));
      }) {
  address_ = ListenOnLoopback(server_);
  second_address_ = ListenOnLoopback(second_server_);
}

bool ObjectStore::OnSecondEvent(http::ServerEvent&& event) {
  ExchangeId& exchange =
      std::visit([](auto& e) -> ExchangeId& { return e.exchange; }, event);
  if (rejects_at_second_ && std::holds_alternative<http::RequestEvent>(event)) {
    second_server_.Execute(
        http::RespondCommand{.exchange = exchange, .status = 503});
    return true;
  }
  exchange = ExchangeId(exchange.value() + kSecondServerOffset);
  return OnEvent(std::move(event));
}

void ObjectStore::Respond(http::RespondCommand&& command) {
  if (command.exchange.value() < kSecondServerOffset) {
    return server_.Execute(std::move(command));
  }
  command.exchange = ExchangeId(command.exchange.value() - kSecondServerOffset);
  second_server_.Execute(std::move(command));
}

void ObjectStore::Abort(ExchangeId exchange) {
  if (exchange.value() < kSecondServerOffset) {
    return server_.Execute(http::AbortCommand{exchange});
  }
  second_server_.Execute(
      http::AbortCommand{ExchangeId(exchange.value() - kSecondServerOffset)});
}

void ObjectStore::Put(const std::string& kind, const std::string& name,
                      const json::value& spec) {
  Object& object = kinds_[kind][name];
  object.spec = spec;
  RecordChange(kind, name, false);
  if (object.created == 0) object.created = object.revision;
}

void ObjectStore::Remove(const std::string& kind, const std::string& name) {
  if (kinds_[kind].erase(name) > 0) RecordChange(kind, name, true);
}

void ObjectStore::SetHealth(Health health) {
  health_ = health;
  if (health_ == Health::kHealthy) NotifyWatches();
}

void ObjectStore::DropHistory() {
  history_.clear();
  oldest_revision_ = revision_ + 1;
  watches_suspended_ = false;
  for (const Watch& watch : std::exchange(watches_, {})) {
    Abort(watch.exchange);
  }
}

bool ObjectStore::ContainsText(const std::string& kind,
                               const std::string& text) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return false;
  return std::any_of(objects->second.begin(), objects->second.end(),
                     [&](const auto& element) {
                       return json::serialize(element.second.spec).find(text) !=
                              std::string::npos;
                     });
}

size_t ObjectStore::Count(const std::string& kind,
                          const std::string& prefix) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return 0;
  size_t count = 0;
  for (const auto& [name, object] : objects->second) {
    if (name.starts_with(prefix)) ++count;
  }
  return count;
}

std::vector<std::string> ObjectStore::Names(const std::string& kind) const {
  std::vector<std::string> names;
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return names;
  for (const auto& [name, object] : objects->second) names.push_back(name);
  return names;
}

json::value ObjectStore::Status(const std::string& kind,
                                const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return nullptr;
  const auto object = objects->second.find(name);
  return object == objects->second.end() ? json::value()
                                         : object->second.status;
}

json::value ObjectStore::Spec(const std::string& kind,
                              const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return nullptr;
  const auto object = objects->second.find(name);
  return object == objects->second.end() ? json::value() : object->second.spec;
}

void ObjectStore::RecordChange(const std::string& kind, const std::string& name,
                               bool deleted) {
  ++revision_;
  if (!deleted) kinds_[kind][name].revision = revision_;
  history_.push_back({revision_, kind, name, deleted, MonotonicNow()});
  NotifyWatches();
}

bool ObjectStore::OnEvent(http::ServerEvent&& event) {
  if (const auto* disconnect = std::get_if<http::DisconnectEvent>(&event)) {
    watches_.remove_if([&](const Watch& watch) {
      return watch.exchange == disconnect->exchange;
    });
    return true;
  }
  OnRequest(std::get<http::RequestEvent>(event));
  return true;
}

void ObjectStore::OnRequest(const http::RequestEvent& request) {
  if (health_ == Health::kUnresponsive) return;
  if (health_ == Health::kUnavailable)
    return RespondJson(request.exchange, 503, {});
  const auto url = boost::urls::parse_origin_form(request.target).value();
  std::vector<std::string> path;
  for (const auto& segment : url.segments()) path.push_back(segment);
  std::map<std::string, std::string> query;
  for (const auto& parameter : url.params()) {
    query[parameter.key] = parameter.value;
  }
  if (path.size() < 3 || path[1] != "objects") {
    return RespondJson(request.exchange, 404, {});
  }
  const std::string name = path.size() > 3 ? path[3] : "";
  const bool status = path.size() > 4;
  if (request.method != "GET") return Write(request, path[2], name, status);
  if (!name.empty()) return Read(request.exchange, path[2], name);
  if (query.contains("watch")) {
    return BeginWatch(request.exchange, path[2], ParseNumber(query["watch"]),
                      static_cast<int64_t>(ParseNumber(query["wait_ms"])));
  }
  List(request.exchange, path[2], query["after"]);
}

json::object ObjectStore::ToJson(const std::string& name,
                                 const Object& object) const {
  return {{"metadata", json::object{{"name", name},
                                    {"revision", object.revision},
                                    {"create_rev", object.created},
                                    {"finalizers", json::array{}},
                                    {"deleting", false}}},
          {"spec", object.spec},
          {"status", object.status}};
}

void ObjectStore::RespondJson(ExchangeId exchange, unsigned status,
                              const json::value& body) {
  http::HeaderList headers;
  headers.Add("Content-Type", "application/json");
  std::string text = json::serialize(body);
  for (const auto& [string, raw] : raw_texts) {
    const std::string quoted = json::serialize(json::value(string));
    for (size_t at = text.find(quoted); at != std::string::npos;
         at = text.find(quoted, at + raw.size())) {
      text.replace(at, quoted.size(), raw);
    }
  }
  Respond({.exchange = exchange,
           .status = status,
           .headers = std::move(headers),
           .body = std::move(text)});
}

void ObjectStore::Read(ExchangeId exchange, const std::string& kind,
                       const std::string& name) {
  const auto found = kinds_[kind].find(name);
  if (found == kinds_[kind].end()) return RespondJson(exchange, 404, {});
  RespondJson(exchange, 200, ToJson(name, found->second));
}

void ObjectStore::List(ExchangeId exchange, const std::string& kind,
                       const std::string& after) {
  json::array items;
  bool more = false;
  const auto& objects = kinds_[kind];
  for (auto at = objects.upper_bound(after); at != objects.end(); ++at) {
    if (items.size() == kPageSize) {
      more = true;
      break;
    }
    items.push_back(ToJson(at->first, at->second));
  }
  const json::object page = {
      {"items", std::move(items)}, {"more_pages", more}, {"as_of", revision_}};
  if (list_delay_.count() == 0) return RespondJson(exchange, 200, page);
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, list_delay_);
  timer->async_wait([this, timer, exchange, page](const auto& ec) {
    if (!ec) RespondJson(exchange, 200, page);
  });
}

void ObjectStore::BeginWatch(ExchangeId exchange, const std::string& kind,
                             uint64_t after, int64_t wait_ms) {
  DropOldHistory();
  if (after + 1 < oldest_revision_) return RespondJson(exchange, 410, {});
  auto timer = std::make_unique<boost::asio::steady_timer>(
      io_, std::chrono::milliseconds(wait_ms));
  timer->async_wait([this, exchange](const boost::system::error_code& ec) {
    if (ec || health_ != Health::kHealthy || watches_suspended_) return;
    for (auto at = watches_.begin(); at != watches_.end(); ++at) {
      if (at->exchange != exchange) continue;
      RespondToWatch(*at, true);
      watches_.erase(at);
      return;
    }
  });
  watches_.push_back({exchange, kind, after, std::move(timer)});
  NotifyWatches();
}

void ObjectStore::DropOldHistory() {
  const TimePoint now = MonotonicNow();
  const auto kept =
      std::find_if(history_.begin(), history_.end(), [&](const Change& change) {
        return now - change.made_at <= history_retention_;
      });
  if (kept == history_.begin()) return;
  oldest_revision_ = std::prev(kept)->revision + 1;
  history_.erase(history_.begin(), kept);
}

void ObjectStore::NotifyWatches() {
  if (watches_suspended_ || health_ != Health::kHealthy) return;
  watches_.remove_if(
      [this](const Watch& watch) { return RespondToWatch(watch, false); });
}

bool ObjectStore::RespondToWatch(const Watch& watch, bool allow_empty) {
  json::array events;
  uint64_t as_of = revision_;
  for (const Change& change : history_) {
    if (change.revision <= watch.after || change.kind != watch.kind) continue;
    if (events.size() == kMaxWatchEvents) break;
    as_of = change.revision;
    const auto found = kinds_[change.kind].find(change.name);
    const bool exists = !change.deleted && found != kinds_[change.kind].end();
    const Object tombstone{.revision = change.revision};
    events.push_back(json::object{
        {"deleted", !exists},
        {"object", ToJson(change.name, exists ? found->second : tombstone)}});
  }
  if (events.empty() && !allow_empty) return false;
  if (events.size() < kMaxWatchEvents) as_of = revision_;
  RespondJson(watch.exchange, 200,
              json::object{{"events", std::move(events)}, {"as_of", as_of}});
  return true;
}

bool ObjectStore::IsHeld(const http::RequestEvent& request) {
  if (held_creations_ == 0 || request.method != "POST") return false;
  const json::value body = json::parse(request.body);
  const std::string name(body.at("metadata").at("name").as_string());
  if (!name.starts_with(held_prefix_)) return false;
  --held_creations_;
  return true;
}

bool ObjectStore::DelayWrite(const http::RequestEvent& request,
                             const std::string& kind, const std::string& name,
                             bool status) {
  std::optional<std::chrono::milliseconds> delay;
  const bool held = IsHeld(request);
  if (held) {
    delay = write_delay_;
  } else if (delayed_writes_ > 0) {
    --delayed_writes_;
    delay = write_delay_;
  } else if (write_fate) {
    delay = write_fate(name.empty() ? NewName(request.body) : name,
                       request.headers.Find("Host"));
  }
  if (!delay) return false;
  if (!held) Abort(request.exchange);
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, *delay);
  timer->async_wait([this, timer, request, kind, name, status](const auto& ec) {
    if (!ec) PerformWrite(request, kind, name, status);
  });
  return true;
}

void ObjectStore::Write(const http::RequestEvent& request,
                        const std::string& kind, std::string name,
                        bool status) {
  if (DelayWrite(request, kind, name, status)) return;
  PerformWrite(request, kind, std::move(name), status);
}

void ObjectStore::PerformWrite(const http::RequestEvent& request,
                               const std::string& kind, std::string name,
                               bool status) {
  ++writes_;
  if (request.method == "DELETE") {
    Remove(kind, name);
    return RespondToWrite(request.exchange, kind, name, 200);
  }
  const json::value body = json::parse(request.body);
  const json::object& metadata = body.as_object().at("metadata").as_object();
  const json::value* value =
      body.as_object().if_contains(status ? "status" : "spec");
  if (value && json::serialize(*value).size() > max_value_bytes) {
    ++oversized_writes_;
    return RespondJson(request.exchange, 413, {});
  }
  const bool create = request.method == "POST";
  if (create) name = std::string(metadata.at("name").as_string());
  const auto found = kinds_[kind].find(name);
  const bool exists = found != kinds_[kind].end();
  if (create ? exists : !exists) {
    return RespondToWrite(request.exchange, kind, name, create ? 409 : 404);
  }
  const json::value* revision = metadata.if_contains("revision");
  if (exists && revision &&
      revision->to_number<uint64_t>() != found->second.revision) {
    return RespondToWrite(request.exchange, kind, name, 409);
  }
  Object& object = kinds_[kind][name];
  if (status) {
    object.status = body.as_object().at("status");
  } else {
    object.spec = body.as_object().at("spec");
  }
  RecordChange(kind, name, false);
  if (create) object.created = object.revision;
  RespondToWrite(request.exchange, kind, name, 200);
}

void ObjectStore::RespondToWrite(ExchangeId exchange, const std::string& kind,
                                 const std::string& name, unsigned status) {
  if (lost_responses_ > 0) {
    --lost_responses_;
    return Abort(exchange);
  }
  const auto found = kinds_[kind].find(name);
  if (found == kinds_[kind].end()) return RespondJson(exchange, status, {});
  RespondJson(exchange, status, ToJson(name, found->second));
}

}  // namespace knapweedstile::users_site
