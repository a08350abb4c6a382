#ifndef REVIEW_SMALL_STORE_2_HPP_
#define REVIEW_SMALL_STORE_2_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/url.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/server.h"

namespace review {

namespace http = knapweedstile::http;
namespace json = boost::json;
using knapweedstile::ExchangeId;
using knapweedstile::MonotonicNow;
using knapweedstile::TimePoint;

// Stand-in of the platform's metadata store with the limits of the pages: lists
// and watches of about 500 objects or 1 MB at most, a history of some seconds
// ("20 s of history"), and 410 for what is older.
class SmallStore {
 public:
  SmallStore(boost::asio::io_context& io, std::chrono::milliseconds history)
      : io_(io),
        kept_(history),
        server_(io, Settings(), [this](http::ServerEvent&& event) {
          return OnEvent(std::move(event));
        }) {
    const uint16_t port = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<uint16_t> {
          return server_.Listen("127.0.0.1:0");
        },
        [] { return uint16_t{0}; });
    address_ = "127.0.0.1:" + std::to_string(port);
  }

  const std::string& address() const { return address_; }
  void Put(const std::string& kind, const std::string& name,
           const json::value& spec) {
    Object& object = kinds_[kind][name];
    object.spec = json::serialize(spec);
    OnChange(kind, name, false);
    if (object.created == 0) object.created = object.revision;
  }
  void Remove(const std::string& kind, const std::string& name) {
    if (kinds_[kind].erase(name) > 0) OnChange(kind, name, true);
  }
  json::value Spec(const std::string& kind, const std::string& name) {
    const auto found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? json::value()
                                       : json::parse(found->second.spec);
  }

 private:
  static constexpr size_t kMaxObjects = 500;
  static constexpr size_t kMaxBytes = 1 << 20;
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    std::string spec = "null";
    std::string status = "null";
  };
  struct Change {
    uint64_t revision = 0;
    TimePoint at{};
    std::string kind;
    std::string name;
    bool deleted = false;
  };
  struct Watch {
    ExchangeId exchange;
    std::string kind;
    uint64_t after = 0;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  static http::ServerSettings Settings() {
    http::ServerSettings settings;
    settings.max_body_bytes = 16 << 20;
    return settings;
  }
  void Respond(ExchangeId exchange, unsigned status, std::string body) {
    http::RespondCommand answer{
        .exchange = exchange, .status = status, .body = std::move(body)};
    answer.headers.Add("Content-Type", "application/json");
    server_.Execute(std::move(answer));
  }
  static std::string Text(const std::string& name, const Object& object) {
    return "{\"metadata\":" +
           json::serialize(json::object{{"name", name},
                                        {"revision", object.revision},
                                        {"create_rev", object.created},
                                        {"finalizers", json::array{}},
                                        {"deleting", false}}) +
           ",\"spec\":" + object.spec + ",\"status\":" + object.status + "}";
  }
  void OnChange(const std::string& kind, const std::string& name,
                bool deleted) {
    ++revision_;
    if (!deleted) kinds_[kind][name].revision = revision_;
    changes_.push_back({revision_, MonotonicNow(), kind, name, deleted});
    watches_.remove_if([this](const Watch& w) { return Answer(w, false); });
  }
  void Forget() {
    while (!changes_.empty() && changes_.front().at < MonotonicNow() - kept_) {
      forgotten_ = changes_.front().revision;
      changes_.pop_front();
    }
  }
  bool Answer(const Watch& watch, bool also_empty) {
    std::string events;
    size_t count = 0;
    uint64_t as_of = revision_;
    for (const Change& change : changes_) {
      if (change.revision <= watch.after || change.kind != watch.kind) continue;
      const auto& objects = kinds_[change.kind];
      const auto found = objects.find(change.name);
      const bool exists = !change.deleted && found != objects.end();
      const Object gone{.revision = change.revision};
      const std::string event =
          std::string("{\"deleted\":") + (exists ? "false" : "true") +
          ",\"object\":" + Text(change.name, exists ? found->second : gone) +
          "}";
      const bool full = count == kMaxObjects ||
                        (count > 0 && events.size() + event.size() > kMaxBytes);
      if (full) break;
      if (count++ > 0) events += ',';
      events += event;
      as_of = change.revision;
    }
    if (count == 0 && !also_empty) return false;
    if (count == 0) as_of = revision_;
    Respond(watch.exchange, 200,
            "{\"events\":[" + events +
                "],\"as_of\":" + std::to_string(as_of) + "}");
    return true;
  }
  void List(ExchangeId exchange, const std::string& kind,
            const std::string& after) {
    std::string items;
    size_t count = 0;
    bool more = false;
    const auto& objects = kinds_[kind];
    for (auto at = objects.upper_bound(after); at != objects.end(); ++at) {
      const std::string item = Text(at->first, at->second);
      more = count == kMaxObjects ||
             (count > 0 && items.size() + item.size() > kMaxBytes);
      if (more) break;
      if (count++ > 0) items += ',';
      items += item;
    }
    Respond(exchange, 200,
            "{\"items\":[" + items +
                "],\"more_pages\":" + (more ? "true" : "false") +
                ",\"as_of\":" + std::to_string(revision_) + "}");
  }
  void BeginWatch(ExchangeId exchange, const std::string& kind, uint64_t after,
                  int64_t wait_ms) {
    Forget();
    if (after < forgotten_) return Respond(exchange, 410, "{}");
    Watch watch{exchange, kind, after, nullptr};
    if (Answer(watch, false)) return;
    watch.timer = std::make_unique<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(wait_ms));
    watch.timer->async_wait([this, exchange](const auto& ec) {
      if (ec) return;
      for (auto at = watches_.begin(); at != watches_.end(); ++at) {
        if (at->exchange != exchange) continue;
        Answer(*at, true);
        watches_.erase(at);
        return;
      }
    });
    watches_.push_back(std::move(watch));
  }
  void Write(const http::RequestEvent& request, const std::string& kind,
             std::string name, bool status) {
    auto& objects = kinds_[kind];
    if (request.method == "DELETE") {
      const bool existed = objects.contains(name);
      Remove(kind, name);
      return Respond(request.exchange, existed ? 200 : 404, "{}");
    }
    const json::value body = json::parse(request.body);
    const json::object& metadata = body.at("metadata").as_object();
    const bool create = request.method == "POST";
    if (create) name = std::string(metadata.at("name").as_string());
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    const json::value* revision = metadata.if_contains("revision");
    const bool outdated =
        exists && revision &&
        revision->to_number<uint64_t>() != found->second.revision;
    if (exists ? create || outdated : !create) {
      return Respond(request.exchange, exists ? 409 : 404,
                     exists ? Text(name, found->second) : "{}");
    }
    Object& object = objects[name];
    (status ? object.status : object.spec) =
        json::serialize(body.at(status ? "status" : "spec"));
    OnChange(kind, name, false);
    if (create) object.created = object.revision;
    Respond(request.exchange, 200, Text(name, object));
  }
  bool OnEvent(http::ServerEvent&& event) {
    if (const auto* gone = std::get_if<http::DisconnectEvent>(&event)) {
      watches_.remove_if(
          [&](const Watch& w) { return w.exchange == gone->exchange; });
      return true;
    }
    const auto& request = std::get<http::RequestEvent>(event);
    const auto url = boost::urls::parse_origin_form(request.target).value();
    std::vector<std::string> path;
    for (const auto& segment : url.segments()) path.push_back(segment);
    std::map<std::string, std::string> query;
    for (const auto& p : url.params()) query[p.key] = p.value;
    if (path.size() < 3 || path[1] != "objects") {
      Respond(request.exchange, 404, "{}");
      return true;
    }
    const std::string name = path.size() > 3 ? path[3] : "";
    if (request.method != "GET") {
      Write(request, path[2], name, path.size() > 4);
    } else if (!name.empty()) {
      const auto& objects = kinds_[path[2]];
      const auto found = objects.find(name);
      const bool exists = found != objects.end();
      Respond(request.exchange, exists ? 200 : 404,
              exists ? Text(name, found->second) : "{}");
    } else if (query.contains("watch")) {
      BeginWatch(request.exchange, path[2], std::stoull(query["watch"]),
                 query.contains("wait_ms") ? std::stoll(query["wait_ms"]) : 0);
    } else {
      List(request.exchange, path[2], query["after"]);
    }
    return true;
  }

  boost::asio::io_context& io_;
  std::chrono::milliseconds kept_;
  std::string address_;
  http::Server server_;
  uint64_t revision_ = 10;
  uint64_t forgotten_ = 0;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::deque<Change> changes_;
  std::list<Watch> watches_;
};

}  // namespace review

#endif  // REVIEW_SMALL_STORE_2_HPP_
