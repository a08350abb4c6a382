#ifndef KNAPWEEDSTILE_GATEWAY_JOB_OWNERSHIP_H_
#define KNAPWEEDSTILE_GATEWAY_JOB_OWNERSHIP_H_

#include <string>

#include "base/time.h"

namespace knapweedstile::serving {
struct BatchJob;
class JobTable;
}  // namespace knapweedstile::serving

namespace knapweedstile::gateway {

class PeerLink;

// Which entry is in charge of a batch job, as this one sees it: the one that
// accepted it while it lives; then, by a hash that all agree on, one of those
// that live. Two views may differ for a moment: an item may then run twice, but
// its result is committed once.
class JobOwnership {
 public:
  JobOwnership(std::string own_name, TimePoint started_at,
               const PeerLink& peers, const serving::JobTable& book);

  // Commands.
  // Whether the ends of jobs are known as they are in the store.
  void SetEndRecordsLoaded(bool knows) noexcept { end_records_loaded_ = knows; }
  // This entry takes charge of nothing from now on.
  void Stop() noexcept { stopping_ = true; }

  // Queries. Whether this entry starts items of the job.
  bool Owns(const serving::BatchJob& job, TimePoint now) const;
  // Whether this entry deletes the records of a job that has expired.
  bool CollectsRecordsOf(const std::string& job) const;
  // The other entry that runs the job once this one is gone: the one that
  // accepted it, if it lives; empty without others.
  std::string SuccessorOf(const std::string& job) const;

 private:
  // One of the live entries, by a hash that all agree on.
  std::string RendezvousOwner(const std::string& job) const;

  std::string own_name_;
  TimePoint started_at_;
  const PeerLink& peers_;
  const serving::JobTable& jobs_;
  bool end_records_loaded_ = false;
  bool stopping_ = false;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_OWNERSHIP_H_
