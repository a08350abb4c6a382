#include "serving/waiting_line.h"

namespace knapweedstile::serving {

bool WaitingLine::Join(const std::string& service, ExchangeId caller,
                       TimePoint leave_by, size_t most) {
  Line& line = lines_[service];
  if (line.size() >= most) return false;
  line.emplace(leave_by, caller);
  places_[caller] = {service, leave_by};
  return true;
}

std::optional<ExchangeId> WaitingLine::TakeNext(const std::string& service) {
  const auto line = lines_.find(service);
  if (line == lines_.end() || line->second.empty()) return std::nullopt;
  const ExchangeId caller = line->second.begin()->second;
  Leave(caller);
  return caller;
}

void WaitingLine::Leave(ExchangeId caller) {
  const auto place = places_.extract(caller);
  if (place.empty()) return;
  Line& line = lines_[place.mapped().service];
  auto [at, end] = line.equal_range(place.mapped().leave_by);
  while (at != end && at->second != caller) ++at;
  if (at != end) line.erase(at);
}

std::vector<ExchangeId> WaitingLine::TakeExpired(TimePoint now) {
  std::vector<ExchangeId> expired;
  for (const auto& [caller, place] : places_) {
    if (place.leave_by <= now) expired.push_back(caller);
  }
  for (const ExchangeId caller : expired) Leave(caller);
  return expired;
}

std::vector<std::string> WaitingLine::Services() const {
  std::vector<std::string> services;
  for (const auto& [service, line] : lines_) {
    if (!line.empty()) services.push_back(service);
  }
  return services;
}

}  // namespace knapweedstile::serving
