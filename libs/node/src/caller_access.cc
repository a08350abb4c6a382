#include "caller_access.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <string_view>

#include "objects/catalog.h"

namespace knapweedstile::node {
namespace {

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;
constexpr size_t kMaxHeaderText = 256;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kStandardWorkspace = "default";

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  ::SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
  std::string hex;
  for (const unsigned char byte : digest) hex += fmt::format("{:02x}", byte);
  return hex;
}

std::string_view KeyOf(const http::HeaderList& headers) {
  const std::string_view value = headers.Find("Authorization");
  return value.starts_with(kBearer) ? value.substr(kBearer.size())
                                    : std::string_view();
}

const objects::Workspace* WorkspaceOfKey(const http::HeaderList& headers,
                                         const objects::Catalog& catalog) {
  const std::string_view key = KeyOf(headers);
  return key.empty() ? nullptr : catalog.WorkspaceByKey(Sha256Hex(key));
}

ApiError Denied(unsigned status, std::string code, std::string message) {
  return {status, "invalid_request_error", std::move(code), std::move(message),
          "",     RunTruth::kNotRun,       std::nullopt};
}

}  // namespace

CallerIdentity ReadIdentity(const http::HeaderList& headers,
                            const objects::Catalog& catalog) {
  const auto text = [&](std::string_view name) {
    return std::string(headers.Find(name).substr(0, kMaxHeaderText));
  };
  CallerIdentity identity;
  if (const objects::Workspace* owner = WorkspaceOfKey(headers, catalog)) {
    identity.workspace = owner->name;
  } else {
    identity.workspace = text("X-Workspace");
  }
  if (identity.workspace.empty()) identity.workspace = kStandardWorkspace;
  identity.caller = text("X-Caller");
  identity.request_id = text("X-Request-Id");
  return identity;
}

std::optional<ApiError> CheckAccess(const http::HeaderList& headers,
                                    const CallerIdentity& identity,
                                    WorkspaceRule rule,
                                    const objects::Catalog& catalog) {
  const objects::Workspace* by_key = WorkspaceOfKey(headers, catalog);
  const auto object = catalog.workspaces().find(identity.workspace);
  if (object == catalog.workspaces().end()) {
    if (rule == WorkspaceRule::kAnyName) return std::nullopt;
    return Denied(kForbidden, "unknown_workspace",
                  "no such workspace: " + identity.workspace);
  }
  const bool needs_key = !object->second.key_sha256.empty();
  if (needs_key && by_key == nullptr) {
    return Denied(kUnauthorized, "invalid_api_key",
                  "this workspace is reached with one of its keys only");
  }
  return std::nullopt;
}

std::optional<ApiError> CheckModel(const CallerIdentity& identity,
                                   const std::string& model,
                                   const objects::Catalog& catalog) {
  const auto object = catalog.workspaces().find(identity.workspace);
  if (object == catalog.workspaces().end()) return std::nullopt;
  const std::vector<std::string>& models = object->second.models;
  if (models.empty() ||
      std::find(models.begin(), models.end(), model) != models.end()) {
    return std::nullopt;
  }
  return Denied(kForbidden, "model_not_allowed",
                "this workspace may not ask for the model " + model);
}

}  // namespace knapweedstile::node
