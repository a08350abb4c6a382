#ifndef KNAPWEEDSTILE_HARNESS_BATCH_JOB_H_
#define KNAPWEEDSTILE_HARNESS_BATCH_JOB_H_

#include <string>

#include "harness/caller.h"
#include "harness/ledger.h"

namespace knapweedstile::harness {

// A batch job from its caller's side.
class BatchJob {
 public:
  // `key`: the Idempotency-Key.
  BatchJob(Caller& caller, Ledger& ledger, std::string key);

  // Commands.
  void AddItem(const std::string& custom_id, const std::string& prompt,
               int max_tokens);
  // An item whose prompt can never be answered.
  void AddHopelessItem(const std::string& custom_id, const std::string& prompt);
  // A line as it is; its item is expected to fail.
  void AddMalformedLine(const std::string& line);
  // Sends the job, again and again until it is accepted or refused for good;
  // false at the limit. What is accepted is owed from then on.
  bool Submit(const std::string& entry);
  // Waits until the job is in `state`.
  bool WaitForState(const std::string& entry, const std::string& state);
  // Hands every page of results to the ledger; false when a page fails.
  bool ReadResults(const std::string& entry);

  // Queries.
  const std::string& id() const noexcept { return id_; }
  const std::string& body() const noexcept { return body_; }
  size_t results() const noexcept { return results_; }
  http::EndEvent Send(const std::string& entry);
  // The state that `entry` tells; empty when it cannot.
  std::string State(const std::string& entry);

 private:
  struct Item {
    std::string custom_id;
    std::string prompt;
    int max_tokens = 0;
    bool hopeless = false;
  };

  void Owe();

  Caller& caller_;
  Ledger& ledger_;
  std::string key_;
  std::string body_;
  std::vector<Item> items_;
  std::string id_;
  size_t results_ = 0;
};

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_BATCH_JOB_H_
