#include "merged_timeline.h"

#include <fmt/core.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "http_call.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

constexpr int kClockSamples = 5;
constexpr int64_t kNanosPerMicro = 1000;
constexpr double kNanosPerMilli = 1e6;

struct Page {
  json::object fields;
  int64_t sent_nanos = 0;
  int64_t received_nanos = 0;
};

std::optional<Page> Fetch(const std::string& admin, uint64_t after) {
  HttpCall call;
  call.address = admin;
  call.target = "/timeline?after=" + std::to_string(after);
  Page page;
  page.sent_nanos = WallClockNanos();
  const http::EndEvent end = Send(call);
  page.received_nanos = WallClockNanos();
  boost::system::error_code error;
  json::value value = json::parse(end.body, error);
  if (error || !value.is_object()) return std::nullopt;
  page.fields = std::move(value.get_object());
  return page;
}

int64_t IntField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::string StringField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

// Assigns the spans of one process to lanes: a span gets the first lane that is
// free when it begins, so that overlapping spans are drawn in different lanes.
class LaneAllocator {
 public:
  size_t Assign(int64_t begin, int64_t end) {
    for (size_t lane = 0; lane < free_at_.size(); ++lane) {
      if (free_at_[lane] <= begin) {
        free_at_[lane] = end;
        return lane;
      }
    }
    free_at_.push_back(end);
    return free_at_.size() - 1;
  }

 private:
  std::vector<int64_t> free_at_;
};

struct Span {
  int64_t begin = 0;
  int64_t end = 0;
  size_t lane = 0;
};

using SpanKey = std::pair<size_t, std::string>;  // process, request

std::map<SpanKey, Span> ComputeSpans(const std::vector<MergedEvent>& events) {
  std::map<SpanKey, Span> spans;
  for (const MergedEvent& event : events) {
    if (event.request.empty()) continue;
    const int64_t begin = event.nanos - event.duration_nanos;
    auto [span, added] = spans.try_emplace({event.process, event.request},
                                           Span{begin, event.nanos, 0});
    span->second.end = std::max(span->second.end, event.nanos);
  }
  std::vector<std::map<SpanKey, Span>::iterator> by_begin;
  for (auto span = spans.begin(); span != spans.end(); ++span) {
    by_begin.push_back(span);
  }
  std::sort(by_begin.begin(), by_begin.end(),
            [](auto a, auto b) { return a->second.begin < b->second.begin; });
  std::map<size_t, LaneAllocator> lanes;
  for (auto span : by_begin) {
    span->second.lane =
        lanes[span->first.first].Assign(span->second.begin, span->second.end);
  }
  return spans;
}

json::object TraceEvent(std::string_view name, const char* phase, int64_t nanos,
                        size_t process, size_t lane) {
  return {{"name", name},
          {"ph", phase},
          {"ts", static_cast<double>(nanos) / kNanosPerMicro},
          {"pid", process + 1},
          {"tid", lane + 1}};
}

}  // namespace

bool MergedTimeline::AddProcess(const std::string& admin) {
  Process process;
  process.uncertainty_nanos = INT64_MAX;
  for (int i = 0; i < kClockSamples; ++i) {
    // `after` is beyond every sequence number, so no events are returned.
    const auto page = Fetch(admin, INT64_MAX);
    if (!page) return false;
    const int64_t half_round_trip =
        (page->received_nanos - page->sent_nanos) / 2;
    if (half_round_trip >= process.uncertainty_nanos) continue;
    process.uncertainty_nanos = half_round_trip;
    process.offset_nanos = IntField(page->fields, "wall_clock_nanos") -
                           page->sent_nanos - half_round_trip;
    process.node = StringField(page->fields, "node");
  }
  uint64_t after = 0;
  for (;;) {
    const auto page = Fetch(admin, after);
    if (!page) return false;
    const json::value* list = page->fields.if_contains("events");
    if (list == nullptr || list->get_array().empty()) break;
    for (const json::value& element : list->get_array()) {
      const json::object& fields = element.get_object();
      const json::value* args = fields.if_contains("args");
      events_.push_back({IntField(fields, "t") - process.offset_nanos,
                         IntField(fields, "dur"), processes_.size(),
                         StringField(fields, "name"),
                         StringField(fields, "request"),
                         args == nullptr ? "{}" : json::serialize(*args)});
      after = static_cast<uint64_t>(IntField(fields, "seq"));
    }
  }
  processes_.push_back(std::move(process));
  return true;
}

void MergedTimeline::Sort() {
  std::stable_sort(events_.begin(), events_.end(),
                   [](const MergedEvent& a, const MergedEvent& b) {
                     return a.nanos < b.nanos;
                   });
}

std::string MergedTimeline::ClockReport() const {
  std::string text;
  for (const Process& process : processes_) {
    text += fmt::format(
        "node={} offset_ms={:.3f} uncertainty_ms={:.3f}\n", process.node,
        static_cast<double>(process.offset_nanos) / kNanosPerMilli,
        static_cast<double>(process.uncertainty_nanos) / kNanosPerMilli);
  }
  return text;
}

std::string MergedTimeline::ChromeTrace() const {
  json::array trace;
  for (size_t i = 0; i < processes_.size(); ++i) {
    json::object name = TraceEvent("process_name", "M", 0, i, 0);
    name["args"] = json::object{{"name", processes_[i].node}};
    trace.push_back(std::move(name));
  }
  const std::map<SpanKey, Span> spans = ComputeSpans(events_);
  for (const auto& [key, span] : spans) {
    json::object request_event =
        TraceEvent(key.second, "X", span.begin, key.first, span.lane);
    request_event["dur"] =
        static_cast<double>(span.end - span.begin) / kNanosPerMicro;
    trace.push_back(std::move(request_event));
  }
  for (const MergedEvent& event : events_) {
    const auto span = spans.find({event.process, event.request});
    const size_t lane = span == spans.end() ? 0 : span->second.lane;
    json::object instant =
        TraceEvent(event.name, "i", event.nanos, event.process, lane);
    instant["s"] = span == spans.end() ? "p" : "t";
    boost::system::error_code error;
    json::value args = json::parse(event.args, error);
    if (!error && args.is_object()) {
      args.get_object()["request"] = event.request;
      instant["args"] = std::move(args);
    }
    trace.push_back(std::move(instant));
  }
  return json::serialize(
      json::object{{"displayTimeUnit", "ms"}, {"traceEvents", trace}});
}

std::string MergedTimeline::RequestText(const std::string& request) const {
  std::string text;
  std::optional<int64_t> first;
  for (const MergedEvent& event : events_) {
    if (event.request != request) continue;
    if (!first) first = event.nanos;
    text +=
        fmt::format("{:+12.3f}ms {:<12} {:<20} {}\n",
                    static_cast<double>(event.nanos - *first) / kNanosPerMilli,
                    processes_[event.process].node, event.name, event.args);
  }
  return text;
}

}  // namespace knapweedstile::ctl
