#ifndef KNAPWEEDSTILE_GATEWAY_STORE_ROLE_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_ROLE_H_

#include <boost/asio/io_context.hpp>
#include <string>

#include "gateway/gateway_settings.h"
#include "platform/store_answer.h"
#include "store/kind_mirror.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {

// The process on a VM with a disk. It stores nothing there, so it confirms an
// evacuation request for its VM as soon as the operators write one.
class StoreRole {
 public:
  StoreRole(boost::asio::io_context& io, const GatewaySettings& settings);
  void Start() { mirror_.Start(); }

 private:
  void OnEvacuationRequest(const platform::StoredObject& object);
  void ReportEvacuation(uint64_t version);

  boost::asio::io_context& io_;
  std::string name_;
  StoreCalls store_;
  KindMirror mirror_;
  bool evacuation_reported_ = false;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_ROLE_H_
