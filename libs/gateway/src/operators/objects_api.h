#ifndef KNAPWEEDSTILE_GATEWAY_OBJECTS_API_H_
#define KNAPWEEDSTILE_GATEWAY_OBJECTS_API_H_

#include <functional>
#include <string>

#include "http/server_command.h"
#include "http/server_event.h"

namespace knapweedstile::gateway {

class StoreCalls;

// The operators' objects over HTTP at a gateway, which keeps them in the
// platform's store: what `knapctl apply`, `get`, `label` and `delete` call.
//
//   GET    /v1/objects/KIND
//   GET    /v1/objects/KIND/NAME
//   PUT    /v1/objects/KIND/NAME?if_version=N   0: only when there is none
//   DELETE /v1/objects/KIND/NAME?if_version=N
//
// A change is answered when the store has taken it. 409 bears the version that
// is there; 422 names the fields that are wrong; 503: not done; 504: unknown.
class ObjectsApi {
 public:
  using SendToCaller = std::function<void(http::ServerCommand&&)>;

  ObjectsApi(StoreCalls& store, SendToCaller to_caller);

  static bool IsObjectTarget(std::string_view target);
  void OnRequest(const http::RequestEvent& request);

 private:
  struct ObjectCall;

  void List(ExchangeId caller, const std::string& kind);
  void Read(const ObjectCall& call);
  void Write(const ObjectCall& call, const std::string& value);
  void Delete(const ObjectCall& call);
  void Respond(ExchangeId caller, unsigned status, std::string body);

  StoreCalls& store_;
  SendToCaller send_to_caller_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_OBJECTS_API_H_
