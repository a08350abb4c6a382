#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_FETCHER_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_FETCHER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/store_answer.h"

namespace knapweedstile::gateway {

// Reads single records from the store and applies them in full: those of jobs
// of which this gateway has only the outline, when none of the holders answers
// or this gateway has taken over the job. Several requests for a record share
// one call. Decides only; the caller passes the time.
//
// Designed for a gateway that takes over many jobs while the store refuses
// calls: it asks for each record on every pass over its jobs, dozens of times a
// second, but no record is read again before a pause has passed.
class RecordFetcher {
 public:
  using Callback = std::function<void(bool read)>;
  using AnswerCallback =
      std::function<void(const platform::StoreAnswer&, TimePoint answered_at)>;
  struct Callbacks {
    // Whether calls can reach the store.
    std::function<bool()> store_reachable;
    // Reads the record `name` from the store.
    std::function<void(const std::string& name, TimePoint deadline,
                       AnswerCallback done)>
        read;
    std::function<void(const platform::StoredObject& object)> apply;
    // Whether the job of the record is known.
    std::function<bool(const std::string& name)> job_known;
  };

  explicit RecordFetcher(Callbacks callbacks);

  // Reads the record, for example "job.ID".
  void Fetch(const std::string& name, TimePoint now, Callback done);
  // Reads the record unless a read is in flight, too many are, the store cannot
  // be reached or the record's last read was a short time ago.
  void FetchInBackground(const std::string& name, TimePoint now);

 private:
  void OnRead(const std::string& name, const platform::StoreAnswer& answer,
              TimePoint answered_at);

  Callbacks callbacks_;
  std::map<std::string, std::vector<Callback>> waiting_;  // by record name
  // When a record that was read may be read again in the background.
  std::map<std::string, TimePoint> retry_at_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_FETCHER_H_
