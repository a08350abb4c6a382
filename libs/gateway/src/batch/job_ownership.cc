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
// A gateway that can't start items for this long leaves its jobs to its peers.
// Results are due within 18 s of the last submission, and a run may take ten.
constexpr std::chrono::milliseconds kHandoverDelay{3000};
// Before a gateway takes its jobs back, the time for its report to reach its
// peers and for their reports of the items they run, and the progress of the
// others, to arrive.
constexpr std::chrono::milliseconds kTakeBackDelay{600};

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
      jobs_(jobs),
      hands_over_at_(started_at + kHandoverDelay) {}

void JobOwnership::SetEndRecordsLoaded(bool knows, TimePoint now) {
  if (knows == end_records_loaded_) return;
  if (HandsOver(now)) owns_from_ = now + kTakeBackDelay;
  end_records_loaded_ = knows;
  hands_over_at_ = now + kHandoverDelay;
}

bool JobOwnership::Owns(const serving::BatchJob& job, TimePoint now) const {
  if (stopping_ || !end_records_loaded_) return false;
  // Until peers have reported their usage, every slot appears free.
  if (now < started_at_ + kUsageReportDelay || now < owns_from_) return false;
  if (job.creator == own_name_) return true;
  if (now < started_at_ + kTakeoverDelay) return false;
  if (peers_.StartsItems(job.creator)) return false;
  if (job.second_holder == own_name_) return true;
  if (peers_.StartsItems(job.second_holder)) return false;
  std::vector<std::string> gateways = peers_.PeersStartingItems();
  gateways.push_back(own_name_);
  return HighestRendezvousHash(job.id, gateways) == own_name_;
}

bool JobOwnership::IsLive(const std::string& gateway) const {
  return gateway == own_name_ ? !stopping_ : peers_.IsActivePeer(gateway);
}

std::vector<std::string> JobOwnership::LiveHoldersOf(
    const serving::BatchJob& job) const {
  std::vector<std::string> holders;
  for (const std::string& holder : {job.creator, job.second_holder}) {
    if (IsLive(holder)) holders.push_back(holder);
  }
  return holders;
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
  if (const serving::BatchJob* known = jobs_.Find(job)) {
    for (const std::string& holder : {known->creator, known->second_holder}) {
      if (peers_.StartsItems(holder)) return holder;
    }
  }
  std::vector<std::string> gateways = peers_.PeersStartingItems();
  if (gateways.empty()) gateways = peers_.ActivePeers();
  return HighestRendezvousHash(job, gateways);
}

}  // namespace knapweedstile::gateway
