#ifndef KNAPWEEDSTILE_STANDINS_PLATFORM_SERVICE_H_
#define KNAPWEEDSTILE_STANDINS_PLATFORM_SERVICE_H_

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <unordered_map>

#include "lagged.h"
#include "platform_store.h"
#include "run_log.h"
#include "stand_in.h"
#include "target.h"
#include "token_bucket.h"

namespace knapweedstile::standins {

struct PlatformSettings {
  std::chrono::milliseconds vm_lag{0};
  std::chrono::milliseconds delay{0};
  double writes_per_s = 0;  // zero: unlimited
  double reads_per_s = 0;
  std::string log;
};

// The platform's object API and VM list (docs/design/protocols.md), with the
// faults that a test orders.
class PlatformService {
 public:
  PlatformService(StandIn& process, const PlatformSettings& settings);

  void OnRequest(const http::RequestEvent& request);
  void OnDisconnect(ExchangeId exchange);

 private:
  using VmList = std::map<std::string, boost::json::object>;

  bool Admit(const http::RequestEvent& request, bool write);
  void Control(const http::RequestEvent& request);
  void Vms(const http::RequestEvent& request, const Target& target);
  void Read(const http::RequestEvent& request, const Target& target);
  void Change(const http::RequestEvent& request, const Target& target);
  void ListKind(const http::RequestEvent& request, const Target& target);
  void BeginWatch(const http::RequestEvent& request, const Target& target);
  void AnswerWatches(const std::string& kind);
  void AnswerWatch(ExchangeId exchange, const PlatformStore::Query& query);
  void Answer(ExchangeId exchange, unsigned status,
              const boost::json::value& body);
  void Count(const char* what);

  StandIn& process_;
  PlatformSettings settings_;
  PlatformStore store_;
  Lagged<VmList> vms_;
  RunLog log_;
  TokenBucket writes_;
  TokenBucket reads_;
  TimePoint outage_until_ = TimePoint::min();
  int64_t lose_answers_ = 0;
  std::unordered_map<ExchangeId, PlatformStore::Query> watches_;
  std::map<std::string, uint64_t> counts_;
};

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_PLATFORM_SERVICE_H_
