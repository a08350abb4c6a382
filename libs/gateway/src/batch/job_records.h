#ifndef KNAPWEEDSTILE_GATEWAY_JOB_RECORDS_H_
#define KNAPWEEDSTILE_GATEWAY_JOB_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "serving/batch_job.h"
#include "serving/item_result.h"
#include "serving/route.h"

namespace knapweedstile::gateway {

// Records of batch jobs in the platform's store (kinds: record_kinds.h):
//
//   job.ID          an accepted job, written before its acceptance is answered
//   segment.ID.N    results of a job; created once, so a position never changes
//   end.ID          its caller wants no more of it
inline constexpr char kRecordKind[] = "knapweedstile";

enum class RecordType { kJob, kSegment, kEnd, kUnknown };

struct RecordName {
  RecordType type = RecordType::kUnknown;
  std::string id;        // of the job
  uint32_t segment = 0;  // kSegment
};
RecordName ParseRecordName(std::string_view name);
// What a job is known by inside: the caller's id, and the workspace that it
// belongs to. Two workspaces may use the same id; each finds its own job only.
std::string JobKey(std::string_view workspace, std::string_view id);
std::string JobName(std::string_view job);
std::string SegmentName(std::string_view job, uint32_t number);
std::string EndName(std::string_view job);

// An accepted job: its submission as the caller sent it and where it came in.
struct JobRecord {
  std::string creator;
  std::string host;
  std::string route;
  std::string workspace;  // that it was handed in under; empty: none
  // When it came, on the wall clock of its entry. Clocks differ and jump, so
  // this only orders jobs; nothing is given up by it.
  int64_t accepted_wall_millis = 0;
  int64_t completion_millis = 0;  // objective, from the acceptance on
  int64_t ttl_millis = 0;
  std::string submission;
};
// The record of a job that arrives now at the entry `creator`.
JobRecord NewJobRecord(std::string_view creator, std::string_view host,
                       const serving::Route& route, std::string_view workspace,
                       std::string&& submission);
std::string EncodeJob(const JobRecord& record);
// The job as it is known from `now` (`wall_millis` on the wall clock) on;
// kInvalid when it is not one.
Result<serving::BatchJob> DecodeJob(std::string_view id, std::string_view value,
                                    TimePoint now, int64_t wall_millis);

std::string EncodeSegment(const std::vector<serving::ItemResult>& results);
Result<std::vector<serving::ItemResult>> DecodeSegment(std::string_view value);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_RECORDS_H_
