#ifndef KNAPWEEDSTILE_HARNESS_LEDGER_H_
#define KNAPWEEDSTILE_HARNESS_LEDGER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "http/client_event.h"

namespace knapweedstile::harness {

// To compare with, so that a failed check prints what there was.
inline const std::vector<std::string> kNone;

// What callers sent and received, set against what the backend servers say they
// ran. Written from the callers' side only; shares nothing with the product.
//
// It judges: a whole answer is the caller's own; a request refused as "not run"
// is in no run log; every accepted item completed exactly once with its own
// whole answer; a non-idempotent call is in the run logs at most once.
class Ledger {
 public:
  // A model request under its X-Request-Id.
  void Sent(const std::string& request, const std::string& prompt,
            int max_tokens);
  // Its whole answer's text, as received.
  void Answered(const std::string& request, const std::string& text);
  // A refusal or failure: `not_run` in its error object counts as a promise.
  void Failed(const std::string& request, const http::EndEvent& end);
  // A call that may run once only, under its X-Request-Id or Idempotency-Key.
  void SentOnce(const std::string& request);

  // An item of a job that was accepted.
  void AcceptedItem(const std::string& job, const std::string& custom_id,
                    const std::string& prompt, int max_tokens);
  // An item that can never be done: must end as failed.
  void AcceptedHopelessItem(const std::string& job,
                            const std::string& custom_id);
  // One line of the job's results.
  void ItemResult(const std::string& job, const std::string& line);

  void ReadRunLog(const std::string& path);

  // What does not hold, in words; empty when everything does. Requests that are
  // neither answered nor failed count as lost.
  std::vector<std::string> Faults() const;
  // How often backend servers began `request`.
  size_t RunsOf(const std::string& request) const;
  size_t answered() const noexcept { return answered_; }
  size_t refused_as_not_run() const noexcept { return not_run_.size(); }
  size_t failed() const noexcept { return failed_; }

 private:
  struct Expectation {
    std::string text;
    bool hopeless = false;
    size_t ends = 0;
  };
  using Expectations = std::map<std::string, Expectation>;

  void Fault(const std::string& what) { faults_.push_back(what); }

  Expectations requests_;
  Expectations items_;  // by "JOB/CUSTOM_ID"
  std::set<std::string> not_run_;
  std::set<std::string> once_;
  std::map<std::string, size_t> runs_;
  std::vector<std::string> faults_;
  size_t answered_ = 0;
  size_t failed_ = 0;
};

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_LEDGER_H_
