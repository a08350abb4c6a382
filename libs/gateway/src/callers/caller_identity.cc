#include "callers/caller_identity.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>

#include "objects/catalog.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

constexpr std::string_view kBearer = "Bearer ";

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  ::SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
  std::string hex;
  for (const unsigned char byte : digest) hex += fmt::format("{:02x}", byte);
  return hex;
}

const objects::Workspace* WorkspaceOfKey(const http::HeaderList& headers,
                                         const objects::Catalog& catalog) {
  const std::string_view value = headers.Find("Authorization");
  if (!value.starts_with(kBearer) || catalog.workspaces().empty()) {
    return nullptr;
  }
  return catalog.WorkspaceByKey(Sha256Hex(value.substr(kBearer.size())));
}

std::optional<Duration> OwnBudget(const http::HeaderList& headers) {
  const std::string_view text = headers.Find("X-Deadline-Ms");
  int64_t millis = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (text.empty() || parsed.ec != std::errc() || millis < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(millis);
}

std::string ModelOf(std::string_view body) {
  json::error_code ec;
  const json::value parsed = json::parse({body.data(), body.size()}, ec);
  const json::object* object = ec ? nullptr : parsed.if_object();
  const json::value* model = object ? object->if_contains("model") : nullptr;
  return model && model->is_string() ? std::string(model->get_string())
                                     : std::string();
}

}  // namespace

CallerIdentity ReadCaller(const http::HeaderList& headers,
                          const objects::Catalog& catalog,
                          const std::string& made_id) {
  const auto platform = users_platform::DecodeCaller(headers);
  CallerIdentity caller{.host = platform.host,
                        .request_id = platform.request_id,
                        .budget = platform.budget};
  caller.own_interface = caller.request_id.empty();
  if (caller.own_interface) caller.request_id = headers.Find("X-Request-Id");
  if (caller.request_id.empty()) caller.request_id = made_id;
  if (!caller.budget) caller.budget = OwnBudget(headers);
  if (const auto* owner = WorkspaceOfKey(headers, catalog)) {
    caller.workspace = owner->name;
  } else if (const auto named =
                 catalog.workspaces().find(headers.Find("X-Workspace"));
             named != catalog.workspaces().end()) {
    caller.workspace = named->first;
  }
  return caller;
}

bool HoldsKey(const http::HeaderList& headers, const CallerIdentity& caller,
              const objects::Catalog& catalog) {
  const auto found = catalog.workspaces().find(caller.workspace);
  if (found == catalog.workspaces().end()) return true;
  return found->second.key_sha256.empty() ||
         WorkspaceOfKey(headers, catalog) == &found->second;
}

bool MayAskModel(std::string_view body, const CallerIdentity& caller,
                 const objects::Catalog& catalog) {
  const auto found = catalog.workspaces().find(caller.workspace);
  if (found == catalog.workspaces().end()) return true;
  const std::vector<std::string>& models = found->second.models;
  return models.empty() ||
         std::find(models.begin(), models.end(), ModelOf(body)) != models.end();
}

}  // namespace knapweedstile::gateway
