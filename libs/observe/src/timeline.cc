#include "observe/timeline.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace knapweedstile::observe {

namespace {

// Names of requests come from callers and may be as long as a header.
constexpr size_t kMaxTextBytes = 256;

void Truncate(std::string& text) {
  if (text.size() <= kMaxTextBytes) return;
  text.resize(kMaxTextBytes);
  text.shrink_to_fit();
}

}  // namespace

void Timeline::Record(TimelineEvent event) {
  Truncate(event.request);
  for (auto& [key, value] : event.args) Truncate(value);
  event.sequence = ++last_sequence_;
  if (capacity_ == 0) return;
  if (events_.size() == capacity_) events_.pop_front();
  events_.push_back(std::move(event));
}

std::string Timeline::EventsJson(uint64_t after, size_t limit) const {
  boost::json::array page;
  const auto first = std::partition_point(
      events_.begin(), events_.end(),
      [after](const TimelineEvent& e) { return e.sequence <= after; });
  for (auto event = first; event != events_.end() && page.size() < limit;
       ++event) {
    boost::json::object json{{"seq", event->sequence},
                             {"t", event->wall_clock_nanos},
                             {"name", event->name},
                             {"request", event->request}};
    if (event->duration_nanos != 0) json["dur"] = event->duration_nanos;
    boost::json::object args;
    for (const auto& [key, value] : event->args) args[key] = value;
    json["args"] = std::move(args);
    page.push_back(std::move(json));
  }
  return boost::json::serialize(page);
}

}  // namespace knapweedstile::observe
