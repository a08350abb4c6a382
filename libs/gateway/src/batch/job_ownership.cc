#include "batch/job_ownership.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "peers/peer_link.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {
namespace {

// After a start, the time for peers' usage reports to arrive.
constexpr std::chrono::milliseconds kUsageReportDelay{600};
// After a start, the time for reports of live peers to arrive before their jobs
// are taken over.
constexpr std::chrono::milliseconds kTakeoverDelay{1600};

// Rendezvous hashing: gives the same result on all gateways that see the same
// set of gateways.
std::string HighestRendezvousHash(const std::string& job,
                                  const std::vector<std::string>& gateways) {
  if (gateways.empty()) return {};
  const uint64_t seed = Hash64(job);
  return *std::max_element(gateways.begin(), gateways.end(),
                           [seed](const std::string& a, const std::string& b) {
                             return Hash64(a, seed) < Hash64(b, seed);
                           });
}

}  // namespace

JobOwnership::JobOwnership(std::string own_name, TimePoint started_at,
                           const PeerLink& peers, const serving::JobTable& jobs)
    : own_name_(std::move(own_name)),
      started_at_(started_at),
      peers_(peers),
      jobs_(jobs) {}

bool JobOwnership::Owns(const serving::BatchJob& job, TimePoint now) const {
  if (stopping_ || !end_records_loaded_) return false;
  // Until peers have reported their usage, every slot appears free.
  if (now < started_at_ + kUsageReportDelay) return false;
  if (job.creator == own_name_) return true;
  if (now < started_at_ + kTakeoverDelay) return false;
  if (peers_.IsActivePeer(job.creator)) return false;
  return RendezvousOwner(job.id) == own_name_;
}

bool JobOwnership::CollectsRecordsOf(const std::string& job) const {
  return !stopping_ && RendezvousOwner(job) == own_name_;
}

std::string JobOwnership::RendezvousOwner(const std::string& job) const {
  std::vector<std::string> gateways = peers_.ActivePeers();
  gateways.push_back(own_name_);
  return HighestRendezvousHash(job, gateways);
}

std::string JobOwnership::SuccessorOf(const std::string& job) const {
  const std::vector<std::string> gateways = peers_.ActivePeers();
  const serving::BatchJob* known = jobs_.Find(job);
  const bool creator_is_live =
      known && std::find(gateways.begin(), gateways.end(), known->creator) !=
                   gateways.end();
  return creator_is_live ? known->creator
                         : HighestRendezvousHash(job, gateways);
}

}  // namespace knapweedstile::gateway
