#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_FETCHER_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_FETCHER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/store_answer.h"

namespace knapweedstile::gateway {

class RecordKinds;
class RecordReader;
class StoreCalls;

// Reads single records from the store and applies them in full: those of jobs
// of which this gateway has only the outline, when none of the holders answers
// or this gateway has taken over the job. Several requests for a record share
// one call.
class RecordFetcher {
 public:
  using Callback = std::function<void(bool read)>;

  RecordFetcher(StoreCalls& store, const RecordKinds& kinds,
                RecordReader& reader)
      : store_(store), kinds_(kinds), reader_(reader) {}

  // Reads the record, for example "job.ID".
  void Fetch(const std::string& name, Callback done);
  // Reads the record, unless that was tried a moment ago, too many reads are in
  // flight or the store cannot be reached. May be called at every tick.
  void FetchInBackground(const std::string& name, TimePoint now);

 private:
  void OnRead(const std::string& name, const platform::StoreAnswer& answer);

  StoreCalls& store_;
  const RecordKinds& kinds_;
  RecordReader& reader_;
  std::map<std::string, std::vector<Callback>> waiting_;  // by record name
  // When a background read may be tried again, by record name.
  std::map<std::string, TimePoint> retry_at_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_FETCHER_H_
