#ifndef KNAPWEEDSTILE_KNAPCTL_BATCH_API_H_
#define KNAPWEEDSTILE_KNAPCTL_BATCH_API_H_

#include <cstdint>
#include <string>
#include <vector>

#include "exit_code.h"
#include "http/client_event.h"

namespace knapweedstile::ctl {

struct CommandLine;

// Status of a batch job as the gateway reports it; counts are in items.
struct JobStatus {
  std::string id;
  std::string state;
  uint64_t total = 0;
  uint64_t completed = 0;
  uint64_t failed = 0;
  uint64_t cancelled = 0;

  bool IsFinished() const {
    return state == "completed" || state == "cancelled";
  }
};

// Client of the native batch API, through any gateway. A file that is too large
// for one job is split into several; the id is then a comma-separated list of
// their ids. Every call prints its errors to standard error.
class BatchApi {
 public:
  explicit BatchApi(const CommandLine& line) : line_(line) {}

  // Submits `body`, one JSON item per line, and reads back the status. Retries
  // temporary rejections (429, 503) if the idempotency `key` is not empty.
  ExitCode Submit(const std::string& body, const std::string& key,
                  JobStatus* job) const;
  ExitCode Status(const std::string& id, JobStatus* job) const;
  ExitCode Cancel(const std::string& id) const;
  // Reads one page of one job's results after sequence number `after`.
  // `next_after` is zero after the last page.
  ExitCode Results(const std::string& id, uint64_t after, std::string* lines,
                   uint64_t* next_after) const;

 private:
  // Tries the gateways in turn until one responds; all serve the same API.
  http::EndEvent Call(const std::string& method, const std::string& target,
                      const std::string& body, const std::string& key) const;

  const CommandLine& line_;
};

// Splits a comma-separated list of job ids.
std::vector<std::string> SplitJobIds(const std::string& id);

// Maps a gateway's response to an exit code and prints its error, if any.
ExitCode ToExitCode(const http::EndEvent& end);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_BATCH_API_H_
