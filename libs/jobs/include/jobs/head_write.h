#ifndef KNAPWEEDSTILE_JOBS_HEAD_WRITE_H_
#define KNAPWEEDSTILE_JOBS_HEAD_WRITE_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "jobs/shard_head.h"

namespace knapweedstile::jobs {

// A write of a shard's head whose effect is not known yet.
struct HeadWrite {
  enum class Phase { kWriting, kReadingBack, kWaiting };

  ShardHead head;
  std::string value;
  uint64_t if_version = 0;
  TimePoint first_sent;
  TimePoint last_sent;
  Phase phase = Phase::kWriting;
  bool in_doubt = false;  // some sending of it may have taken effect
  bool read_next = false;
  bool takes_over = false;
  bool releases = false;
  TimePoint retry_at = kNever;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_HEAD_WRITE_H_
