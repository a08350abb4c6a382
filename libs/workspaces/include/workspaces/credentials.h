#ifndef KNAPWEEDSTILE_WORKSPACES_CREDENTIALS_H_
#define KNAPWEEDSTILE_WORKSPACES_CREDENTIALS_H_

#include <optional>

#include "http/header_list.h"
#include "workspaces/key_digest.h"

namespace knapweedstile::workspaces {

// The credentials that a request carries.
struct Credentials {
  bool present = false;          // any `Authorization` field
  std::optional<KeyDigest> key;  // of one well-formed `Bearer` key

  bool malformed() const noexcept { return present && !key; }
};

// Reads the `Authorization` field. A key is 1 to 4,096 visible ASCII characters
// in a single field; anything else is malformed. That includes a second field:
// another program on the path of the request might pick the other key.
Credentials ReadCredentials(const http::HeaderList& headers);

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_CREDENTIALS_H_
