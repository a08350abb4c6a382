#ifndef KNAPWEEDSTILE_JOBS_OPEN_JOB_H_
#define KNAPWEEDSTILE_JOBS_OPEN_JOB_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/input_segment_ref.h"
#include "jobs/item_line.h"
#include "jobs/item_set.h"
#include "jobs/job_progress.h"
#include "jobs/job_record.h"

namespace knapweedstile::jobs {

// A job that is not finished, in its owner's memory: which items are still to
// be handed out, and the input segment that the next ones are in. At most one
// segment of a job is held.
class OpenJob {
 public:
  // Begins from what is committed; the record may come later.
  explicit OpenJob(JobProgress committed);

  void SetRecord(JobRecord record, uint64_t version);
  void SetState(JobState state, uint64_t version);

  // Takes the next item of the held segment out, in order of index; only while
  // ready().
  uint32_t TakeNext();
  void HoldSegment(const InputSegmentRef& ref, std::string value);
  void DropSegment();

  bool has_record() const noexcept { return version_ != 0; }
  bool cancelling() const noexcept {
    return record_.state == JobState::kCancelling;
  }
  const JobRecord& record() const noexcept { return record_; }
  uint64_t version() const noexcept { return version_; }
  // Lower is more urgent: the due time, rounded so that jobs due at about the
  // same time share instead of running one after another.
  int64_t urgency() const noexcept;
  // The held segment has an item to hand out.
  bool ready() const noexcept;
  // The segment to load for the next items; none when all items are handed out
  // or the held segment still has some.
  std::optional<InputSegmentRef> WantedSegment() const;
  // The line of the item that TakeNext() would take; only while ready().
  const ItemLine& NextLine();
  // The line of an item of the held segment.
  std::string_view LineOf(uint32_t index) const;
  size_t held_bytes() const noexcept { return segment_.size(); }

  JobProgress progress;
  bool admitted = false;   // stands in the shard's head
  bool reading = false;    // its record or a segment is being read
  bool settled = false;    // no item is left, and that is committed
  bool finishing = false;  // its job object is being written for the last time
  uint32_t uncommitted = 0;
  uint64_t handed_out = 0;

 private:
  bool Holds(uint32_t index) const noexcept;
  uint32_t NextIndex() const noexcept;

  JobRecord record_;
  uint64_t version_ = 0;
  ItemSet taken_;  // handed out or done
  uint32_t cursor_ = 0;
  InputSegmentRef held_;
  std::string segment_;
  std::vector<uint32_t> line_begins_;
  std::optional<ItemLine> next_line_;  // read ahead
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_OPEN_JOB_H_
