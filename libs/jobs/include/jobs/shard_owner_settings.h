#ifndef KNAPWEEDSTILE_JOBS_SHARD_OWNER_SETTINGS_H_
#define KNAPWEEDSTILE_JOBS_SHARD_OWNER_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "jobs/lease_settings.h"

namespace knapweedstile::jobs {

struct ShardOwnerSettings {
  LeaseSettings lease;
  // How soon a job submitted elsewhere is seen: one list a shard and period.
  Duration poll_jobs_every = std::chrono::seconds(2);
  // Results are committed together when so many, so large or so old. Two writes
  // a commit: 256 shards at 4 s are 128 writes a second.
  uint32_t flush_items = 1000;
  size_t flush_bytes = 768 << 10;
  Duration flush_every = std::chrono::seconds(1);
  // The commit's period grows by itself for each so many bytes of the head,
  // which every commit rewrites: bytes a second stay bounded.
  size_t flush_slows_per_bytes = 64 << 10;
  uint32_t max_attempts = 3;
  Duration retry_after = std::chrono::milliseconds(500);
  // Items in flight or waiting to go out again.
  uint32_t max_outstanding = 1024;
  // Results that are not committed yet; nothing is handed out beyond. Bounds
  // memory while the platform is out.
  size_t max_uncommitted_bytes = 8 << 20;
  // Input segments held at once, and jobs that hold one.
  size_t max_input_bytes = 8 << 20;
  uint32_t max_active_jobs = 32;
  // Partial output kept for resuming, for one item.
  size_t max_partial_bytes = 64 << 10;
  // Jobs beyond wait outside the head, which the platform bounds to 1 MB.
  size_t max_head_bytes = 512 << 10;
  uint32_t max_admitted_jobs = 1024;
  Duration call_timeout = std::chrono::seconds(3);

  // Guards, switched off only for proofs.
  // Off: a second result of an item is committed as well.
  bool first_result_wins = true;
  // Off: a cancelled job's object is finished without closing it in the head.
  bool close_before_finish = true;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_SHARD_OWNER_SETTINGS_H_
