#ifndef KNAPWEEDSTILE_JOBS_ITEM_WORK_H_
#define KNAPWEEDSTILE_JOBS_ITEM_WORK_H_

#include <cstdint>
#include <string>

#include "jobs/item_ticket.h"
#include "jobs/job_id.h"
#include "jobs/partial_output.h"

namespace knapweedstile::jobs {

// An item handed out to be run.
struct ItemWork {
  ItemTicket ticket;
  JobId job;
  uint32_t index = 0;
  std::string workspace;
  std::string custom_id;
  std::string body;       // JSON of the request
  int64_t due_ms = 0;     // of the job, wall clock; zero: none
  uint32_t attempt = 1;   // counts from one
  PartialOutput partial;  // of earlier attempts
  uint64_t fence = 0;     // of the shard's lease
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_ITEM_WORK_H_
