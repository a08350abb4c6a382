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

class RecordKinds;
class StoreCalls;

// Deletes the records of jobs whose results need not be kept any longer:
// nothing in the store expires by itself.
//
// The job's own record goes first. Were it the last, an entry that starts in
// between would find a job without its results and run it again. Records that
// are left without their job, because a collector died, are found by that.
class RecordCollector {
 public:
  struct Settings {
    // Since the entry learned of the job; a job that is open is kept.
    std::chrono::milliseconds retention{0};
  };

  RecordCollector(StoreCalls& store, const RecordKinds& kinds,
                  serving::JobTable& book, Settings settings,
                  std::function<bool(const std::string& job)> collects);

  void Run(TimePoint now);

 private:
  void FindExpired(TimePoint now);
  void FindOrphans(TimePoint now);
  void DeleteNext();
  void OnDeleted(const std::string& name, const platform::StoreAnswer& answer);

  StoreCalls& store_;
  const RecordKinds& kinds_;
  serving::JobTable& jobs_;
  Settings settings_;
  std::function<bool(const std::string&)> collects_job_;
  TimePoint next_search_at_{};
  std::deque<std::string> pending_deletes_;  // records to be deleted, in order
  bool in_flight_ = false;
  std::map<std::string, TimePoint>
      orphaned_since_;  // jobs that are missing, since
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_COLLECTOR_H_
