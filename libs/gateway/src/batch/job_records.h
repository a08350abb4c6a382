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
//   job.ID          an accepted job; written before the response is sent
//   segment.ID.N    results of a job; created once, so positions never change
//   end.ID          the caller has ended the job
//   large.ID.HASH.COUNT  parts of a large result may exist (large_result.h)
//   part.ID.HASH.N       one of them, in a kind of its own
inline constexpr char kRecordKind[] = "knapweedstile";

enum class RecordType { kJob, kSegment, kEnd, kMarker, kPart, kUnknown };

struct RecordName {
  RecordType type = RecordType::kUnknown;
  std::string id;        // of the job
  uint32_t segment = 0;  // kSegment
  std::string hash;      // kMarker, kPart: of the output
  uint32_t parts = 0;    // kMarker: their number
};
RecordName ParseRecordName(std::string_view name);
// Internal key of a job, made of its workspace and the caller's id. Two
// workspaces may use the same id; each finds only its own job.
std::string JobKey(std::string_view workspace, std::string_view id);
std::string JobName(std::string_view job);
std::string SegmentName(std::string_view job, uint32_t number);
std::string EndName(std::string_view job);
std::string MarkerName(std::string_view job, std::string_view hash,
                       uint32_t parts);
std::string PartName(std::string_view job, std::string_view hash,
                     uint32_t number);

// An accepted job: its submission, the gateways that hold it, and the host and
// route that received it.
struct JobRecord {
  std::string creator;  // its owner
  std::string second;   // second holder; empty: every gateway holds the job
  std::string host;
  std::string route;
  std::string workspace;       // of the submission; empty: none
  uint64_t configuration = 0;  // newest version known at the acceptance
  // Acceptance time by the wall clock of the gateway that accepted the job.
  // Clocks differ and jump, so it only affects the order of jobs; no item
  // expires because of it.
  int64_t accepted_wall_millis = 0;
  int64_t completion_millis = 0;  // objective, from the acceptance
  int64_t ttl_millis = 0;
  std::string submission;
};
// Returns the record of a job that arrives now and is owned by `creator`.
JobRecord NewJobRecord(std::string_view creator, std::string_view host,
                       const serving::Route& route, std::string_view workspace,
                       std::string&& submission);
std::string EncodeJob(const JobRecord& record);
// Decodes a job that this gateway receives at `now`, which is `wall_millis` on
// the wall clock. Fails with kInvalid if `value` is not a valid job record.
Result<serving::BatchJob> DecodeJob(std::string_view id, std::string_view value,
                                    TimePoint now, int64_t wall_millis);

std::string EncodeSegment(const std::vector<serving::ItemResult>& results);
// A large result is decoded without its output.
Result<std::vector<serving::ItemResult>> DecodeSegment(std::string_view value);

// Outlines of the records of a job and of a segment, which are decoded like
// them: items without headers and bodies, and results without outputs. Nothing
// if the value is not a valid record.
std::optional<std::string> OutlineOfJob(std::string_view value);
std::optional<std::string> OutlineOfSegment(std::string_view value);
// Mark what was decoded from an outline.
void MarkOutline(serving::BatchJob& job);
void MarkOutline(std::vector<serving::ItemResult>& results);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_JOB_RECORDS_H_
