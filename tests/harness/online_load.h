#ifndef KNAPWEEDSTILE_HARNESS_ONLINE_LOAD_H_
#define KNAPWEEDSTILE_HARNESS_ONLINE_LOAD_H_

#include <functional>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/ledger.h"

namespace knapweedstile::harness {

// Keeps a number of online requests in flight, every other one streamed, spread
// over the entries; the ledger judges what comes back.
class OnlineLoad {
 public:
  OnlineLoad(Caller& caller, Ledger& ledger, std::vector<std::string> entries,
             size_t in_flight, int words);

  // Keeps the load up until `done`; false at the limit.
  bool RunUntil(const std::function<bool()>& done);
  // Sends nothing more and waits for what is in flight; false at the limit.
  bool Finish();
  // From now on requests go to these entries only.
  void UseEntries(std::vector<std::string> entries);

  // What failed, in words; for tests in which nothing may.
  const std::vector<std::string>& failures() const noexcept {
    return failures_;
  }

 private:
  struct Sent {
    std::string request;
    bool stream = false;
    ExchangeId exchange;
  };

  void Begin();
  void Collect();
  void Judge(const Sent& sent, const Answer& answer);

  Caller& caller_;
  Ledger& ledger_;
  std::vector<std::string> entries_;
  size_t most_in_flight_;
  int words_;
  size_t count_ = 0;
  std::vector<Sent> in_flight_;
  std::vector<std::string> failures_;
};

// A prompt of `count` words that no other name shares.
std::string PromptOf(const std::string& name, int count);

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_ONLINE_LOAD_H_
