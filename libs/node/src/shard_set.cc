#include "shard_set.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "platform_calls.h"

namespace knapweedstile::node {
namespace {

// Lease terms that the second candidate of a shard waits for the first.
constexpr int kSecondWaitsTerms = 2;
constexpr size_t kCandidates = 2;

}  // namespace

ShardSet::ShardSet(const jobs::ShardOwnerSettings& settings,
                   uint32_t shard_count, std::string node, uint64_t incarnation,
                   PlatformCalls& platform)
    : settings_(settings), node_(std::move(node)), platform_(platform) {
  for (uint32_t shard = 0; shard < shard_count; ++shard) {
    owners_.push_back(std::make_unique<jobs::ShardOwner>(
        settings, shard, node_, incarnation, HashCombine(incarnation, shard)));
  }
}

size_t ShardSet::RankOf(uint32_t shard,
                        const std::vector<std::string>& entries) const {
  const uint64_t mine = Hash64(node_, shard);
  return static_cast<size_t>(std::count_if(
      entries.begin(), entries.end(), [&](const std::string& other) {
        return other != node_ && Hash64(other, shard) > mine;
      }));
}

void ShardSet::SetEntries(TimePoint now,
                          const std::vector<std::string>& entries) {
  if (!known_) known_since_ = now;
  known_ = true;
  entries_ = entries;
}

void ShardSet::Tick(TimePoint now) {
  const bool second_stands =
      now >= known_since_ + kSecondWaitsTerms * settings_.lease.term;
  for (uint32_t shard = 0; shard < count(); ++shard) {
    if (known_ && !releasing_) {
      const size_t rank = RankOf(shard, entries_);
      owners_[shard]->SetCandidate(
          rank == 0 || (rank < kCandidates && second_stands), now);
    }
    if (owners_[shard]->next_wakeup(now) <= now) owners_[shard]->Tick(now);
    Pump(shard);
  }
}

void ShardSet::PollSoon(uint32_t shard, TimePoint now) {
  owners_[shard]->PollSoon(now);
  Pump(shard);
}

void ShardSet::Release(TimePoint now) {
  releasing_ = true;
  for (uint32_t shard = 0; shard < count(); ++shard) {
    owners_[shard]->Release(now);
    Pump(shard);
  }
}

std::optional<ShardSet::Item> ShardSet::NextItem(
    TimePoint now, const jobs::LaneHasRoom& has_room) {
  for (uint32_t tried = 0; tried < count(); ++tried) {
    const uint32_t shard = next_shard_;
    next_shard_ = (next_shard_ + 1) % count();
    if (!owners_[shard]->held()) continue;
    auto work = owners_[shard]->NextItem(now, has_room);
    Pump(shard);
    if (work) return Item{shard, std::move(*work)};
  }
  return std::nullopt;
}

std::vector<ShardSet::Stop> ShardSet::TakeStops() {
  std::vector<Stop> stops;
  for (uint32_t shard = 0; shard < count(); ++shard) {
    for (const jobs::ItemTicket ticket : owners_[shard]->TakeStops()) {
      stops.push_back({shard, ticket});
    }
  }
  return stops;
}

void ShardSet::Pump(uint32_t shard) {
  for (platform::StoreRequest& call : owners_[shard]->TakeCalls()) {
    platform_.Call(
        std::move(call),
        [this, shard](TimePoint now, platform::StoreAnswer&& answer) {
          owners_[shard]->OnAnswer(answer, now);
          Pump(shard);
        });
  }
}

TimePoint ShardSet::NextWake(TimePoint now) const {
  TimePoint wake = kNever;
  for (const auto& owner : owners_) {
    wake = std::min(wake, owner->next_wakeup(now));
  }
  return wake;
}

bool ShardSet::Released() const {
  return std::none_of(owners_.begin(), owners_.end(), [](const auto& owner) {
    return owner->held() || owner->in_flight() > 0;
  });
}

}  // namespace knapweedstile::node
