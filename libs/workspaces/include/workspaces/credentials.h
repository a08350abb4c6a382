#ifndef KNAPWEEDSTILE_WORKSPACES_CREDENTIALS_H_
#define KNAPWEEDSTILE_WORKSPACES_CREDENTIALS_H_

#include <optional>

#include "http/header_list.h"
#include "workspaces/key_digest.h"

namespace knapweedstile::workspaces {

// What a request brings to show who sends it.
struct Credentials {
  bool present = false;          // any `Authorization` field
  std::optional<KeyDigest> key;  // of one well-formed `Bearer` key

  bool malformed() const noexcept { return present && !key; }
};

// A key is one to 4,096 visible ASCII characters in one field; anything else,
// also a second field, is malformed: which of two keys holds would be a guess
// that another program on the way may make otherwise.
Credentials ReadCredentials(const http::HeaderList& headers);

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_CREDENTIALS_H_
