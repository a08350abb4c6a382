#include "peers/cell_claims.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "peers/member_records.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using cluster::ClaimState;
using platform::StoreAnswer;
using platform::StoreOutcome;
using serving::Cell;

// A live cell has seen and refuted a claim by then: its readers see a change of
// the directory after half a second, and a slow store takes a quarter of a
// second for a call. Jobs of a lost cell are served again within 15 s.
constexpr std::chrono::milliseconds kClaimStands{5000};
// A cell that is cut off from others, but not from the store, refutes each
// claim.
constexpr std::chrono::milliseconds kClaimAgainAfter{5000};
constexpr std::chrono::milliseconds kCallTimeout{1500};
constexpr std::chrono::milliseconds kRetryPause{500};

}  // namespace

CellClaims::CellClaims(StoreCalls& store, std::string own_name,
                       observe::Metrics& metrics,
                       std::function<void(const Cell&)> departed)
    : store_(store),
      own_name_(std::move(own_name)),
      metrics_(metrics),
      departed_(std::move(departed)) {}

void CellClaims::OnRecord(const platform::StoredObject& object, TimePoint now) {
  const auto claim = DecodeClaim(object.value);
  // The name is derived from the cell.
  if (!claim || ClaimRecordName(claim->cell) != object.name) {
    return LogWarning("member_record_invalid", {{"name", object.name}});
  }
  SetKnown(*claim, object.version, now);
}

void CellClaims::SetKnown(const cluster::CellClaim& claim, uint64_t version,
                          TimePoint now) {
  Known& known = known_[claim.cell];
  if (version <= known.version) return;
  known.version = version;
  known.state = claim.state;
  known.seen_at = now;
  LogInfo("cell_claim", {{"cell", claim.cell.availability_zone},
                         {"part", claim.cell.part},
                         {"state", NameOf(claim.state)},
                         {"by", claim.gateway},
                         {"revision", version}});
  if (claim.state == ClaimState::kDeparted) departed_(claim.cell);
}

void CellClaims::OnSilent(const Cell& cell, TimePoint now) {
  const Known& known = known_[cell];
  if (known.calling || now < known.call_again_at || !store_.available()) return;
  switch (known.state) {
    case ClaimState::kDeparted:
      return;
    case ClaimState::kRefuted:
      if (known.version == 0 || now >= known.seen_at + kClaimAgainAfter)
        Write(cell, ClaimState::kClaimed);
      return;
    case ClaimState::kClaimed:
      break;
  }
  // While the store is down, nobody can refute the claim.
  const TimePoint stands_since =
      std::max(known.seen_at, store_.available_since());
  if (now >= stands_since + kClaimStands) Write(cell, ClaimState::kDeparted);
}

void CellClaims::Run(TimePoint now, Duration turn) {
  if (!confirmed_ && now >= read_own_at_) {
    read_own_at_ = now + kCallTimeout + kRetryPause;
    Read(own_cell_);
  }
  const auto own = known_.find(own_cell_);
  if (own == known_.end() || own->second.state != ClaimState::kClaimed) return;
  if (own->second.calling || now < own->second.call_again_at) return;
  if (now >= own->second.seen_at + turn) Write(own_cell_, ClaimState::kRefuted);
}

void CellClaims::ReadOwnClaim(TimePoint now) {
  confirmed_ = false;
  confirms_from_ = read_own_at_ = now;
}

void CellClaims::Write(const Cell& cell, ClaimState state) {
  Known& known = known_[cell];
  known.calling = true;
  const cluster::CellClaim claim{cell, state, own_name_};
  store_.Call(platform::WriteRequest{.kind = kMemberKind,
                                     .name = ClaimRecordName(cell),
                                     .if_version = known.version,
                                     .value = EncodeClaim(claim)},
              MonotonicNow() + kCallTimeout,
              [this, claim](StoreAnswer&& answer) {
                const TimePoint now = MonotonicNow();
                Known& written = known_[claim.cell];
                written.calling = false;
                written.call_again_at = now + kRetryPause;
                if (answer.outcome == StoreOutcome::kOk) {
                  metrics_.Add("knap_cell_claims_total",
                               {std::string(NameOf(claim.state))});
                  return SetKnown(claim, answer.version, now);
                }
                LogInfo("cell_claim_not_written",
                        {{"cell", claim.cell.availability_zone},
                         {"part", claim.cell.part},
                         {"state", NameOf(claim.state)},
                         {"outcome", NameOf(answer.outcome)}});
                Read(claim.cell);
              });
}

void CellClaims::Read(const Cell& cell) {
  known_[cell].calling = true;
  const TimePoint began = MonotonicNow();
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = kMemberKind, .name = ClaimRecordName(cell)},
      began + kCallTimeout, [this, cell, began](StoreAnswer&& answer) {
        OnRead(cell, began, answer);
      });
}

void CellClaims::OnRead(const Cell& cell, TimePoint began,
                        const StoreAnswer& answer) {
  known_[cell].calling = false;
  const bool found =
      answer.outcome == StoreOutcome::kOk && !answer.objects.empty();
  if (found) OnRecord(answer.objects.front(), MonotonicNow());
  if (found || answer.outcome == StoreOutcome::kNotFound) {
    // A read from before a suspension may be answered after it.
    if (cell == own_cell_ && began >= confirms_from_) confirmed_ = true;
    return;
  }
  LogWarning("cell_claim_not_read", {{"cell", cell.availability_zone},
                                     {"part", cell.part},
                                     {"outcome", NameOf(answer.outcome)}});
}

}  // namespace knapweedstile::gateway
