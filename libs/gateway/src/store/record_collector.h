#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_COLLECTOR_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_COLLECTOR_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "base/time.h"
#include "platform/store_answer.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {

class LargeResultIndex;
class RecordKinds;
class StoreCalls;

// Deletes the records of jobs whose results need not be kept any longer;
// nothing in the store expires by itself.
//
// The job's own record is deleted first. If it were the last, a gateway that
// starts during the deletion would find a job without its results and run it
// again. Records that were left without their job because a collector crashed
// are found as orphans. Markers are deleted after the parts that they name.
class RecordCollector {
 public:
  struct Settings {
    // Time since the gateway learned of the job; an open job is kept.
    std::chrono::milliseconds retention{0};
  };

  RecordCollector(StoreCalls& store, const RecordKinds& kinds,
                  serving::JobTable& jobs, LargeResultIndex& large_results,
                  Settings settings,
                  std::function<bool(const std::string& job)> collects);

  // `has_records`: the records of all jobs that this gateway holds have been
  // read. Until then a segment without its job is no orphan.
  void Run(TimePoint now, bool has_records);

 private:
  void FindExpired(TimePoint now);
  void FindOrphans(TimePoint now);
  void DeleteLargeResults(const std::string& job);
  void DeleteNext();
  void OnDeleted(const std::string& name, const platform::StoreAnswer& answer);

  StoreCalls& store_;
  const RecordKinds& kinds_;
  serving::JobTable& jobs_;
  LargeResultIndex& large_results_;
  Settings settings_;
  std::function<bool(const std::string&)> collects_job_;
  TimePoint next_search_at_{};
  std::deque<std::string> pending_deletes_;  // in order of deletion
  bool in_flight_ = false;
  // By job id; only time with all records and a reachable store counts.
  std::map<std::string, TimePoint> orphaned_since_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_COLLECTOR_H_
