#include "batch/record_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "batch/large_result_index.h"
#include "platform/store_answer.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {
namespace {

constexpr int64_t kNanosPerMilli = 1000000;

}  // namespace

RecordReader::RecordReader(serving::JobTable& jobs,
                           LargeResultIndex& large_results, Callbacks callbacks)
    : jobs_(jobs),
      large_results_(large_results),
      callbacks_(std::move(callbacks)) {}

void RecordReader::ApplyRecord(const platform::StoredObject& object,
                               RecordOrigin origin) {
  const RecordName name = ParseRecordName(object.name);
  switch (name.type) {
    case RecordType::kJob:
      return object.deleted ? jobs_.RemoveJob(name.id)
                            : AddJob(name.id, object, origin);
    case RecordType::kSegment:
      if (!object.deleted) AddSegment(name, object, origin);
      return;
    case RecordType::kEnd:
      if (object.deleted) return;
      if (!jobs_.HasEnd(name.id)) ReportIfFound(object, origin);
      jobs_.EndJob(name.id);
      return callbacks_.job_updated(name.id);
    case RecordType::kMarker:
      return object.deleted ? large_results_.Remove(name.id, object.name)
                            : large_results_.Add(name.id, object.name);
    case RecordType::kPart:
    case RecordType::kUnknown:
      return LogWarning("record_unknown", {{"name", object.name}});
  }
}

size_t RecordReader::RemoveDeletedJobs(
    const std::set<std::string>& names, TimePoint began,
    const std::function<bool(const std::string& job)>& is_listed) {
  std::vector<std::string> deleted;
  for (const auto& [id, job] : jobs_.jobs()) {
    const bool is_absent = job.received_at < began && is_listed(id) &&
                           !names.contains(JobName(id));
    if (is_absent) deleted.push_back(id);
  }
  for (const std::string& id : deleted) {
    LogInfo("job_deleted_unseen", {{"job", id}});
    jobs_.RemoveJob(id);
  }
  return deleted.size();
}

void RecordReader::AddJob(const std::string& id,
                          const platform::StoredObject& object,
                          RecordOrigin origin) {
  const serving::BatchJob* known = jobs_.Find(id);
  const bool completes =
      known && !known->has_bodies && origin == RecordOrigin::kFull;
  if (known && !completes) return;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(job, DecodeJob(id, object.value, MonotonicNow(),
                                       WallClockNanos() / kNanosPerMilli));
        if (origin == RecordOrigin::kOutline) MarkOutline(job);
        jobs_.AddJob(std::move(job));
        ReportIfFound(object, origin);
        return {};
      },
      [&](const Error& error) {
        LogError("job_undecodable", {{"job", id}, {"reason", error.message}});
      },
      [] {});
}

// Most records that a store read returns were already pushed by peers; they are
// not decoded again.
void RecordReader::AddSegment(const RecordName& name,
                              const platform::StoredObject& object,
                              RecordOrigin origin) {
  const bool known = origin == RecordOrigin::kFull
                         ? jobs_.HasFullSegment(name.id, name.segment)
                         : jobs_.HasSegment(name.id, name.segment);
  if (known) return;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(results, DecodeSegment(object.value));
        if (origin == RecordOrigin::kOutline) MarkOutline(results);
        jobs_.AddSegment(name.id, name.segment, std::move(results));
        ReportIfFound(object, origin);
        callbacks_.job_updated(name.id);
        return {};
      },
      [&](const Error& error) {
        LogError("segment_invalid",
                 {{"name", object.name}, {"reason", error.message}});
      },
      [] {});
}

void RecordReader::ReportIfFound(const platform::StoredObject& object,
                                 RecordOrigin origin) {
  if (origin == RecordOrigin::kChange) callbacks_.record_found(object);
}

}  // namespace knapweedstile::gateway
