#include "online/origin_record.h"

#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "peers/member_records.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;

// Callers wait meanwhile; a slow store responds within a quarter of a second.
constexpr std::chrono::milliseconds kReadTimeout{400};
constexpr std::chrono::milliseconds kWriteTimeout{2000};
constexpr std::chrono::milliseconds kRetryPause{500};
// The first gateway of a fleet has created the record by then.
constexpr std::chrono::seconds kCreateDelay{3};
// Between two looks for origins that have expired.
constexpr std::chrono::seconds kCheckPause{1};

bool HasSeveral(const RouteOrigins& origins, const std::string& route) {
  const auto found = origins.find(route);
  return found != origins.end() && found->second.size() > 1;
}

}  // namespace

void OriginRecord::OnRecord(const platform::StoredObject& object) {
  if (object.version <= version_) return;
  auto origins = DecodeRouteOrigins(object.value);
  if (!origins) {
    LogWarning("origin_record_invalid", {{"revision", object.version}});
    // Nothing is known of streams that began earlier.
    origins = RouteOrigins();
  }
  version_ = object.version;
  recorded_ = std::move(*origins);
  check_at_ = TimePoint{};
}

void OriginRecord::OnNoRecord(bool is_first, TimePoint now) {
  if (Exists() || create_at_ != kNever) return;
  is_first_ = is_first;
  create_at_ = is_first ? now : now + kCreateDelay;
}

void OriginRecord::OnInService(RouteOrigins&& in_service) {
  if (in_service == in_service_) return;
  in_service_ = std::move(in_service);
  if (!Exists()) history_.AddUnrecorded(in_service_);
  check_at_ = TimePoint{};
}

void OriginRecord::Run(TimePoint now, Duration turn) {
  if (writing_ || now < check_at_) return;
  const bool may_create = now >= create_at_;
  if (!Exists() && !may_create) return;
  const bool is_new_fleet = !Exists() && is_first_;
  RouteOrigins next = is_new_fleet ? history_.First()
                                   : history_.Next(recorded_, in_service_, now);
  if (Exists() && next == recorded_) {
    check_at_ = now + kCheckPause;
    write_at_ = kNever;
    return;
  }
  if (write_at_ == kNever) write_at_ = now + turn;
  if (now >= write_at_) Write(std::move(next));
}

void OriginRecord::Write(RouteOrigins&& origins) {
  writing_ = true;
  std::string value = EncodeRouteOrigins(origins);
  store_.Call(
      platform::WriteRequest{.kind = kMemberKind,
                             .name = kOriginsName,
                             .if_version = version_,
                             .value = std::move(value)},
      MonotonicNow() + kWriteTimeout,
      [this, origins = std::move(origins)](StoreAnswer&& answer) {
        writing_ = false;
        write_at_ = kNever;
        if (answer.outcome == StoreOutcome::kOk && answer.version > version_) {
          version_ = answer.version;
          recorded_ = origins;
        }
        OnWritten(answer);
      });
}

void OriginRecord::OnWritten(const StoreAnswer& answer) {
  if (answer.outcome == StoreOutcome::kOk) {
    LogInfo("origins_recorded", {{"revision", answer.version}});
    return;
  }
  LogInfo("origins_not_recorded",
          {{"outcome", NameOf(answer.outcome)}, {"reason", answer.message}});
  check_at_ = MonotonicNow() + kRetryPause;
  // Another gateway has written the record, which the directory will report.
  const bool is_new = std::exchange(conflicting_version_, version_) != version_;
  if (answer.outcome == StoreOutcome::kConflict && is_new) return;
  Read();
}

void OriginRecord::FindOnly(const std::string& route, Callback done) {
  if (HasSeveral(recorded_, route) || HasSeveral(in_service_, route))
    return done(std::nullopt, /*answered=*/true);
  searches_.push_back({route, std::move(done)});
  Read();
}

void OriginRecord::Read() {
  if (reading_) return;
  reading_ = true;
  answering_ = std::exchange(searches_, {});
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = kMemberKind, .name = kOriginsName},
      MonotonicNow() + kReadTimeout,
      [this](StoreAnswer&& answer) { OnRead(answer); });
}

void OriginRecord::OnRead(const StoreAnswer& answer) {
  reading_ = false;
  const bool found =
      answer.outcome == StoreOutcome::kOk && !answer.objects.empty();
  const bool missing = answer.outcome == StoreOutcome::kNotFound;
  if (found) OnRecord(answer.objects.front());
  if (missing && Exists()) {
    version_ = 0;
    is_first_ = false;
    create_at_ = MonotonicNow();
    recorded_.clear();
  }
  if (!found && !missing) {
    LogWarning("origins_not_read", {{"outcome", NameOf(answer.outcome)},
                                    {"reason", answer.message}});
  }
  for (const Search& search : std::exchange(answering_, {})) {
    search.done(found ? OnlyOrigin(search.route) : std::nullopt,
                found || missing);
  }
  if (!searches_.empty()) Read();
}

std::optional<serving::StreamOrigin> OriginRecord::OnlyOrigin(
    const std::string& route) const {
  const auto recorded = recorded_.find(route);
  if (recorded == recorded_.end() || recorded->second.size() != 1)
    return std::nullopt;
  const OriginName& only = *recorded->second.begin();
  if (only == OriginName()) return std::nullopt;
  // What is in service here may not be in the record yet.
  const auto served = in_service_.find(route);
  if (served != in_service_.end()) {
    for (const OriginName& name : served->second) {
      if (name != only) return std::nullopt;
    }
  }
  return serving::StreamOrigin{Hash64(only.first), only.second};
}

}  // namespace knapweedstile::gateway
