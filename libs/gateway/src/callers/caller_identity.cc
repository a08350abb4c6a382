#include "callers/caller_identity.h"

#include <algorithm>
#include <charconv>

#include "base/json_text_field.h"
#include "users_platform/request_headers.h"
#include "workspaces/credentials.h"
#include "workspaces/workspace_directory.h"

namespace knapweedstile::gateway {
namespace {

using workspaces::Credentials;
using workspaces::Workspace;
using workspaces::WorkspaceDirectory;

// A day; far larger numbers do not fit into a duration.
constexpr int64_t kMaxDeadlineMillis = 86'400'000;

std::optional<Duration> ReadOwnDeadline(const http::HeaderList& headers) {
  const std::string_view text = headers.Find("X-Deadline-Ms");
  int64_t millis = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (text.empty() || parsed.ec != std::errc() || millis < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::min(millis, kMaxDeadlineMillis));
}

// Identifies a caller that sends no key, by the name of a workspace without
// keys.
void IdentifyByName(const http::HeaderList& headers,
                    const WorkspaceDirectory& workspaces,
                    CallerIdentity& caller) {
  if (workspaces.needs_key()) {
    caller.access = CallerAccess::kNoKey;
    return;
  }
  const Workspace* named = workspaces.Find(headers.Find("X-Workspace"));
  if (!named) return;
  if (named->keys.empty()) {
    caller.workspace = named->name;
    caller.priority = named->priority;
  } else {
    caller.access = CallerAccess::kNoKey;
  }
}

// A key that a caller sends is ignored as long as no workspace has one.
void IdentifyWorkspace(const http::HeaderList& headers,
                       const WorkspaceDirectory& workspaces,
                       CallerIdentity& caller) {
  const Credentials credentials = workspaces::ReadCredentials(headers);
  const bool keys_matter = workspaces.needs_key() || workspaces.has_keys();
  if (!credentials.present || !keys_matter) {
    return IdentifyByName(headers, workspaces, caller);
  }
  if (credentials.malformed()) {
    caller.access = CallerAccess::kMalformedKey;
  } else if (const Workspace* owner = workspaces.FindByKey(*credentials.key)) {
    caller.workspace = owner->name;
    caller.priority = owner->priority;
  } else {
    caller.access = CallerAccess::kUnknownKey;
  }
}

}  // namespace

CallerIdentity ReadCaller(const http::HeaderList& headers,
                          const WorkspaceDirectory& workspaces,
                          const std::string& generated_id) {
  const auto platform = users_platform::DecodeCallerHeaders(headers);
  CallerIdentity caller{.host = platform.host,
                        .request_id = platform.request_id,
                        .budget = platform.budget,
                        .continues_stream = platform.continues_stream,
                        .resumes = platform.resumes};
  caller.own_interface = caller.request_id.empty();
  if (caller.own_interface) caller.request_id = headers.Find("X-Request-Id");
  if (caller.request_id.empty()) caller.request_id = generated_id;
  if (!caller.budget) caller.budget = ReadOwnDeadline(headers);
  IdentifyWorkspace(headers, workspaces, caller);
  return caller;
}

bool IsModelAllowed(std::string_view body, const CallerIdentity& caller,
                    const WorkspaceDirectory& workspaces) {
  const Workspace* workspace = workspaces.Find(caller.workspace);
  if (!workspace || workspace->models.empty()) return true;
  const std::vector<std::string>& models = workspace->models;
  return std::find(models.begin(), models.end(),
                   FindJsonTextField(body, "model")) != models.end();
}

}  // namespace knapweedstile::gateway
