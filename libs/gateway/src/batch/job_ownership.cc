#include "batch/job_ownership.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "peers/peer_link.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {
namespace {

// After a start, for the other entries' usage to arrive.
constexpr std::chrono::milliseconds kLearnUsage{600};
// Before jobs of other entries are taken over, those have time to be heard.
constexpr std::chrono::milliseconds kTakeoverAfterStart{1600};

// By rendezvous hashing: the same for all who see the same entries.
std::string HighestOf(const std::string& job,
                      const std::vector<std::string>& entries) {
  if (entries.empty()) return {};
  const uint64_t seed = Hash64(job);
  return *std::max_element(entries.begin(), entries.end(),
                           [seed](const std::string& a, const std::string& b) {
                             return Hash64(a, seed) < Hash64(b, seed);
                           });
}

}  // namespace

JobOwnership::JobOwnership(std::string own_name, TimePoint started_at,
                           const PeerLink& peers, const serving::JobTable& book)
    : own_name_(std::move(own_name)),
      started_at_(started_at),
      peers_(peers),
      jobs_(book) {}

bool JobOwnership::Owns(const serving::BatchJob& job, TimePoint now) const {
  if (stopping_ || !end_records_loaded_) return false;
  // Until the others have told what they use, every slot looks free.
  if (now < started_at_ + kLearnUsage) return false;
  if (job.creator == own_name_) return true;
  if (now < started_at_ + kTakeoverAfterStart) return false;
  if (peers_.IsActivePeer(job.creator)) return false;
  return RendezvousOwner(job.id) == own_name_;
}

bool JobOwnership::CollectsRecordsOf(const std::string& job) const {
  return !stopping_ && RendezvousOwner(job) == own_name_;
}

std::string JobOwnership::RendezvousOwner(const std::string& job) const {
  std::vector<std::string> entries = peers_.ActivePeers();
  entries.push_back(own_name_);
  return HighestOf(job, entries);
}

std::string JobOwnership::SuccessorOf(const std::string& job) const {
  const std::vector<std::string> entries = peers_.ActivePeers();
  const serving::BatchJob* known = jobs_.Find(job);
  const bool creator_lives =
      known && std::find(entries.begin(), entries.end(), known->creator) !=
                   entries.end();
  return creator_lives ? known->creator : HighestOf(job, entries);
}

}  // namespace knapweedstile::gateway
