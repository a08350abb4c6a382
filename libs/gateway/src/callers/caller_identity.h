#ifndef KNAPWEEDSTILE_GATEWAY_CALLER_IDENTITY_H_
#define KNAPWEEDSTILE_GATEWAY_CALLER_IDENTITY_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "http/header_list.h"

namespace knapweedstile::objects {
class Catalog;
}

namespace knapweedstile::gateway {

// Who sends a request and what they say of it, by the platform's headers or the
// product's own (docs/design/protocols.md).
struct CallerIdentity {
  std::string host;
  std::string request_id;          // the caller's, or one made here
  std::string workspace;           // of an object in force; empty: none
  std::optional<Duration> budget;  // how long the caller will wait
  bool own_interface = false;      // named its request by the product's headers
};

// `made_id` serves a request that names none.
CallerIdentity ReadCaller(const http::HeaderList& headers,
                          const objects::Catalog& catalog,
                          const std::string& made_id);

// Whether the caller may act for its workspace: one with keys is entered by one
// of them only.
bool HoldsKey(const http::HeaderList& headers, const CallerIdentity& caller,
              const objects::Catalog& catalog);
// Whether the caller's workspace may ask for the model that `body` names.
bool MayAskModel(std::string_view body, const CallerIdentity& caller,
                 const objects::Catalog& catalog);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_CALLER_IDENTITY_H_
