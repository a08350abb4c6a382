#include "platform_service.h"

#include <boost/json/array.hpp>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"

namespace knapweedstile::standins {
namespace {

namespace json = boost::json;

constexpr size_t kMaxValueBytes = 1 << 20;
// Longer values stand in the history log by their hash only.
constexpr size_t kMaxLoggedBytes = 4096;

json::object ToJson(const PlatformStore::Object& object, bool with_value) {
  json::object out{{"kind", object.kind},
                   {"name", object.name},
                   {"version", object.version},
                   {"deleted", object.deleted}};
  if (with_value) out["value"] = object.value;
  return out;
}

json::object ToJson(const PlatformStore::Page& page, bool with_values) {
  json::array objects;
  for (const auto* object : page.objects) {
    objects.push_back(ToJson(*object, with_values));
  }
  return {{"revision", page.revision},
          {"more", page.more},
          {"objects", std::move(objects)}};
}

std::set<std::string> SplitKinds(const std::string& text) {
  std::set<std::string> kinds;
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find(',', begin), text.size());
    if (end > begin) kinds.insert(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return kinds;
}

}  // namespace

PlatformService::PlatformService(StandIn& process,
                                 const PlatformSettings& settings)
    : process_(process),
      settings_(settings),
      vms_(settings.vm_lag),
      log_(settings.log),
      writes_(settings.writes_per_s),
      reads_(settings.reads_per_s) {}

void PlatformService::OnRequest(const http::RequestEvent& request) {
  const Target target = ParseTarget(request.target);
  const auto& path = target.segments;
  if (target.Is("/control")) return Control(request);
  const bool is_vms = path.size() >= 2 && path[0] == "v1" && path[1] == "vms";
  if (is_vms && path.size() == 3) return Vms(request, target);
  const bool write = request.method == "PUT" || request.method == "DELETE";
  if (!Admit(request, write)) return;
  if (is_vms) return Vms(request, target);
  if (target.Is("/v1/watch")) return BeginWatch(request, target);
  const bool is_objects =
      path.size() >= 3 && path[0] == "v1" && path[1] == "objects";
  if (is_objects && path.size() == 3 && request.method == "GET") {
    return ListKind(request, target);
  }
  if (is_objects && path.size() == 4) {
    return write ? Change(request, target) : Read(request, target);
  }
  process_.RespondError(request.exchange, 404, "no such path");
}

void PlatformService::OnDisconnect(ExchangeId exchange) {
  watches_.erase(exchange);
}

bool PlatformService::Admit(const http::RequestEvent& request, bool write) {
  const TimePoint now = MonotonicNow();
  if (now < outage_until_) {
    Count("refused_in_outage");
    process_.RespondError(request.exchange, 503, "outage");
    return false;
  }
  if ((write ? writes_ : reads_).Take(now)) return true;
  Count("throttled");
  http::HeaderList headers;
  headers.Add("Retry-After", "1");
  process_.RespondError(request.exchange, 429, "over the quota",
                        std::move(headers));
  return false;
}

void PlatformService::Control(const http::RequestEvent& request) {
  if (request.method == "POST") {
    const json::object order = ParseObject(request.body);
    if (order.contains("outage_ms")) {
      outage_until_ = MonotonicNow() +
                      std::chrono::milliseconds(IntOr(order, "outage_ms", 0));
    }
    lose_answers_ = IntOr(order, "lose_answers", lose_answers_);
    settings_.delay = std::chrono::milliseconds(
        IntOr(order, "delay_ms", settings_.delay.count()));
    if (order.contains("quota_writes_per_s")) {
      writes_.SetRate(
          static_cast<double>(IntOr(order, "quota_writes_per_s", 0)));
    }
    if (order.contains("quota_reads_per_s")) {
      reads_.SetRate(static_cast<double>(IntOr(order, "quota_reads_per_s", 0)));
    }
  }
  json::object counts;
  for (const auto& [name, count] : counts_) counts[name] = count;
  process_.RespondJson(request.exchange, 200, counts);
}

void PlatformService::Vms(const http::RequestEvent& request,
                          const Target& target) {
  if (target.segments.size() == 3) {
    VmList vms = vms_.latest();
    const std::string& name = target.segments[2];
    vms.erase(name);
    if (request.method == "PUT") {
      json::object vm = ParseObject(request.body);
      vm["name"] = name;
      if (!vm.contains("state")) vm["state"] = "live";
      vms[name] = std::move(vm);
    }
    vms_.Set(MonotonicNow(), std::move(vms));
    return process_.RespondJson(request.exchange, 200, json::object());
  }
  Count("vm_lists");
  json::array vms;
  for (const auto& [name, vm] : vms_.SeenAt(MonotonicNow())) vms.push_back(vm);
  Answer(request.exchange, 200, json::object{{"vms", std::move(vms)}});
}

void PlatformService::Read(const http::RequestEvent& request,
                           const Target& target) {
  Count("reads");
  const auto* object = store_.Find(target.segments[2], target.segments[3]);
  if (!object || object->deleted) {
    return Answer(request.exchange, 404,
                  {{"error", {{"message", "no such object"}}}});
  }
  Answer(request.exchange, 200, ToJson(*object, true));
}

void PlatformService::Change(const http::RequestEvent& request,
                             const Target& target) {
  Count("writes");
  const std::string& kind = target.segments[2];
  const std::string& name = target.segments[3];
  const bool remove = request.method == "DELETE";
  if (!target.query.contains("if_version")) {
    return process_.RespondError(request.exchange, 428, "no if_version");
  }
  if (request.body.size() > kMaxValueBytes) {
    return process_.RespondError(request.exchange, 413, "value too large");
  }
  const uint64_t present = store_.VersionOf(kind, name);
  if (remove && present == 0) {
    return process_.RespondError(request.exchange, 404, "no such object");
  }
  const uint64_t if_version = target.NumberOr("if_version", 0);
  const uint64_t version =
      remove ? store_.Delete(kind, name, if_version)
             : store_.Write(kind, name, if_version, request.body);
  if (version == 0) {
    Count("conflicts");
    return Answer(request.exchange, 409, {{"version", present}});
  }
  json::object line{{"version", version},
                    {"kind", kind},
                    {"name", name},
                    {"deleted", remove},
                    {"bytes", request.body.size()},
                    {"hash", HexOf(Hash64(request.body))}};
  if (request.body.size() <= kMaxLoggedBytes) line["value"] = request.body;
  log_.Append(std::move(line));
  if (lose_answers_ > 0) {
    --lose_answers_;
    Count("answers_lost");
    process_.server().Execute(http::AbortCommand{request.exchange});
  } else {
    Answer(request.exchange, 200, {{"version", version}});
  }
  AnswerWatches(kind);
}

void PlatformService::ListKind(const http::RequestEvent& request,
                               const Target& target) {
  Count("lists");
  PlatformStore::Query query;
  query.kinds = {target.segments[2]};
  query.prefix = target.TextOr("prefix");
  query.after = target.NumberOr("after", 0);
  query.limit = std::max<uint64_t>(target.NumberOr("limit", query.limit), 1);
  const bool values = target.TextOr("values", "true") == "true";
  Answer(request.exchange, 200, ToJson(store_.List(query), values));
}

void PlatformService::BeginWatch(const http::RequestEvent& request,
                                 const Target& target) {
  Count("watches");
  PlatformStore::Query query;
  query.kinds = SplitKinds(target.TextOr("kinds"));
  query.after = target.NumberOr("after", 0);
  const bool changed = !store_.List(query).objects.empty();
  const std::chrono::milliseconds wait(target.NumberOr("wait_ms", 0));
  if (changed || wait.count() == 0) return AnswerWatch(request.exchange, query);
  watches_[request.exchange] = query;
  process_.After(wait, [this, exchange = request.exchange] {
    const auto found = watches_.find(exchange);
    if (found == watches_.end()) return;
    const PlatformStore::Query due = found->second;
    watches_.erase(found);
    AnswerWatch(exchange, due);
  });
}

void PlatformService::AnswerWatches(const std::string& kind) {
  std::erase_if(watches_, [&](const auto& watch) {
    if (!watch.second.kinds.contains(kind)) return false;
    AnswerWatch(watch.first, watch.second);
    return true;
  });
}

void PlatformService::AnswerWatch(ExchangeId exchange,
                                  const PlatformStore::Query& query) {
  Answer(exchange, 200, ToJson(store_.List(query), true));
}

void PlatformService::Answer(ExchangeId exchange, unsigned status,
                             const json::value& body) {
  process_.After(settings_.delay, [this, exchange, status, body] {
    process_.RespondJson(exchange, status, body);
  });
}

void PlatformService::Count(const char* what) { ++counts_[what]; }

}  // namespace knapweedstile::standins
