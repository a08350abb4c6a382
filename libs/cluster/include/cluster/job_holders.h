#ifndef KNAPWEEDSTILE_CLUSTER_JOB_HOLDERS_H_
#define KNAPWEEDSTILE_CLUSTER_JOB_HOLDERS_H_

#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::cluster {

// A live gateway that may hold jobs.
struct HolderCandidate {
  std::string name;
  std::string availability_zone;
  double processor_share = 1;  // cores
  double headroom = 1;         // share of them that is free, 0 to 1
  bool takes_outlines = true;  // false: its version needs every job in full
  // Whether it can start items now. Others hold jobs only if there are too few.
  bool starts_items = true;
};

// The gateways that hold the bytes of a job.
struct HolderPair {
  std::string owner;   // runs the job
  std::string second;  // runs it when the owner is gone; empty: all hold it

  bool operator==(const HolderPair&) const = default;
};

// Picks the two gateways that hold a job's bytes: its owner, in the zone of the
// gateway that accepts the job, and a second one in another zone. Pure logic:
// no I/O, no clock, no threads. Rendezvous hashing: a gateway that leaves moves
// only its own jobs.
//
// Designed for jobs of some hundred kilobytes at gateways of 0.07 to 0.5 cores.
// Held by every gateway, each job would occupy the small ones for longer than
// an online request may wait. A gateway's share of the jobs grows with its free
// cores, up to a bound, so that the loss of one strong gateway does not take
// most jobs of its zone with it.
class JobHolders {
 public:
  explicit JobHolders(std::vector<HolderCandidate> candidates);

  // The holders of a job that is accepted in the zone. With only one zone, both
  // are in it. `second` is empty if every gateway holds every job, as in a
  // small fleet, and until the last gateway of an upgrade takes outlines;
  // `owner` is then empty as well.
  HolderPair Choose(std::string_view job, std::string_view zone) const;

 private:
  struct Weighted {
    std::string name;
    std::string availability_zone;
    double weight = 0;
    bool starts_items = true;
  };

  template <class Predicate>
  const Weighted* Best(std::string_view job, Predicate may_hold) const;
  // The best of the gateways that may hold the job: one that starts items if
  // there is any, and of those one that is preferred.
  template <class Preference, class Predicate>
  const Weighted* BestPreferring(std::string_view job, Preference prefers,
                                 Predicate may_hold) const;

  std::vector<Weighted> gateways_;
  // A gateway that does not know second holders would run their jobs as well.
  bool all_hold_all_ = false;
};

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_JOB_HOLDERS_H_
