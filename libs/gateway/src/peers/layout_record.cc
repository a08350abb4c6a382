#include "peers/layout_record.h"

#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "peers/member_records.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;

// Callers wait meanwhile; a slow store responds within a quarter of a second.
constexpr std::chrono::milliseconds kCallTimeout{700};

}  // namespace

LayoutRecord::LayoutRecord(
    StoreCalls& store, std::function<void(const cluster::FleetLayout&)> learned)
    : store_(store), learned_(std::move(learned)) {}

// Reads are not shared: an answer that was given before a caller asked may be
// too old for it.
void LayoutRecord::Read(Callback done) {
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = kMemberKind, .name = kLayoutName},
      MonotonicNow() + kCallTimeout,
      [this, done = std::move(done)](StoreAnswer&& answer) {
        done(OnRead(answer));
      });
}

bool LayoutRecord::OnRead(const StoreAnswer& answer) {
  bool answered = answer.outcome == StoreOutcome::kNotFound;
  if (answer.outcome == StoreOutcome::kOk && !answer.objects.empty()) {
    const auto layout = DecodeLayout(answer.objects.front().value);
    answered = layout.has_value();
    if (layout) learned_(*layout);
  }
  if (!answered) {
    LogWarning("layout_not_read", {{"outcome", NameOf(answer.outcome)},
                                   {"reason", answer.message}});
  }
  return answered;
}

void LayoutRecord::Create(const cluster::FleetLayout& layout, Callback done) {
  creating_.push_back(std::move(done));
  if (creating_.size() > 1) return;
  store_.CallDirectOrRelayed(
      platform::WriteRequest{.kind = kMemberKind,
                             .name = kLayoutName,
                             .if_version = 0,
                             .value = EncodeLayout(layout)},
      MonotonicNow() + kCallTimeout,
      [this, layout](StoreAnswer&& answer) { OnCreated(layout, answer); });
}

void LayoutRecord::OnCreated(const cluster::FleetLayout& layout,
                             const StoreAnswer& answer) {
  LogInfo("layout_proposed",
          {{"shards", layout.shards}, {"outcome", NameOf(answer.outcome)}});
  const auto finish = [waiting = std::exchange(creating_, {})](bool answered) {
    for (const Callback& done : waiting) done(answered);
  };
  switch (answer.outcome) {
    case StoreOutcome::kOk:
      learned_(layout);
      return finish(true);
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      return Read(finish);
    default:
      return finish(false);
  }
}

}  // namespace knapweedstile::gateway
