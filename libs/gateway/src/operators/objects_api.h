#ifndef KNAPWEEDSTILE_GATEWAY_OBJECTS_API_H_
#define KNAPWEEDSTILE_GATEWAY_OBJECTS_API_H_

#include <functional>
#include <string>

#include "http/server_command.h"
#include "http/server_event.h"

namespace knapweedstile::gateway {

class StoreCalls;

// HTTP API for the operators' objects, which are kept in the platform's store.
// `knapctl apply`, `get`, `label` and `delete` call it.
//
//   GET    /v1/objects/KIND
//   GET    /v1/objects/KIND/NAME
//   PUT    /v1/objects/KIND/NAME?if_version=N   0: create only
//   DELETE /v1/objects/KIND/NAME?if_version=N
//
// A change is confirmed after the store has accepted it. Errors: 409 with the
// current version, 422 with the invalid fields, 503 if the change was not made,
// 504 if the outcome is unknown.
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
