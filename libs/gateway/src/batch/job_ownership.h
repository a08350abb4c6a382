#ifndef KNAPWEEDSTILE_GATEWAY_JOB_OWNERSHIP_H_
#define KNAPWEEDSTILE_GATEWAY_JOB_OWNERSHIP_H_

#include <string>
#include <vector>

#include "base/time.h"

namespace knapweedstile::serving {
struct BatchJob;
class JobTable;
}  // namespace knapweedstile::serving

namespace knapweedstile::gateway {

class PeerLink;

// Determines which gateway owns a batch job from this gateway's view of its
// peers: the owner that its record names while that is live and reports to
// start items, otherwise the record's second holder, otherwise one of the other
// gateways that do, chosen by rendezvous hashing. Views may differ briefly; an
// item may then run twice, but its result is committed only once.
class JobOwnership {
 public:
  JobOwnership(std::string own_name, TimePoint started_at,
               const PeerLink& peers, const serving::JobTable& jobs);

  // Commands.
  // Sets whether this gateway has all end records of jobs that are in the
  // store. It owns no jobs until then.
  void SetEndRecordsLoaded(bool knows, TimePoint now);
  // From now on this gateway owns no jobs.
  void Stop() noexcept { stopping_ = true; }

  // Queries.
  // Whether this gateway starts items of the job.
  bool Owns(const serving::BatchJob& job, TimePoint now) const;
  // Whether this gateway has been unable to start items for long and leaves its
  // jobs to its peers.
  bool HandsOver(TimePoint now) const {
    return !end_records_loaded_ && now >= hands_over_at_;
  }
  // Whether this gateway is the one that deletes the job's records when it has
  // expired.
  bool CollectsRecordsOf(const std::string& job) const;
  // Name of the peer that runs the job after this gateway stops: its owner, if
  // live, otherwise its second holder, otherwise one chosen by rendezvous
  // hashing. Peers that start no items are skipped while there are others.
  // Empty if there are no peers.
  std::string SuccessorOf(const std::string& job) const;
  // Those of the two gateways that the job's record names as its holders which
  // are live, the owner first; may include this one. Not to be confused with
  // the cell that holds the job (FleetView::HoldersOf()).
  std::vector<std::string> LiveHoldersOf(const serving::BatchJob& job) const;

 private:
  // One of the live gateways, chosen by rendezvous hashing.
  std::string RendezvousOwner(const std::string& job) const;
  bool IsLive(const std::string& gateway) const;

  std::string own_name_;
  TimePoint started_at_;
  const PeerLink& peers_;
  const serving::JobTable& jobs_;
  bool end_records_loaded_ = false;
  TimePoint hands_over_at_;  // if the end records are still missing then
  TimePoint owns_from_{};    // peers may still run its jobs until then
  bool stopping_ = false;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_OWNERSHIP_H_
