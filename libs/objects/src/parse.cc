#include "objects/parse.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <optional>

#include "field_reader.h"
#include "objects/engine.h"
#include "objects/placement.h"
#include "objects/policy.h"
#include "objects/workspace.h"

namespace knapweedstile::objects {

namespace {

namespace json = boost::json;

constexpr int64_t kMaxPriority = 1'000'000;
constexpr double kMaxSigma = 10;
constexpr double kPermille = 1000;
constexpr double kPercent = 100;
constexpr int64_t kMaxReplicas = 100'000;
constexpr double kMaxRate = 1e6;

template <typename E>
std::string NamesOf() {
  return fmt::format("{}", fmt::join(kEnumNames<E>, ", "));
}

void ReadSharing(FieldReader& reader, decide::SharingPolicy& sharing) {
  std::string kind(NameOf(sharing.kind));
  double share = sharing.batch_share_permille / kPermille;
  double sigma = sharing.reserve_sigma_percent / kPercent;
  reader.Text("sharing", kind);
  reader.Real("batch_share", 0, 1, share);
  reader.Real("reserve_sigma", 0, kMaxSigma, sigma);
  if (const auto parsed = ParseEnum<decide::SharingKind>(kind)) {
    sharing.kind = *parsed;
  } else {
    reader.Reject("sharing", NamesOf<decide::SharingKind>());
  }
  sharing.batch_share_permille =
      static_cast<uint32_t>(std::lround(share * kPermille));
  sharing.reserve_sigma_percent =
      static_cast<uint32_t>(std::lround(sigma * kPercent));
}

void ReadSpec(FieldReader& reader, Policy& policy) {
  reader.Int("priority", -kMaxPriority, kMaxPriority, policy.priority);
  if (auto traffic = reader.Child("traffic")) {
    traffic->ReadSelectorFields(policy.traffic);
    traffic->TextList("targets", policy.targets);
    traffic->RejectUnknownFields();
  }
  reader.ReadSelector("engines", policy.engines);
  ReadSharing(reader, policy.sharing);
}

void ReadSpec(FieldReader& reader, Engine& engine) {
  reader.Require("vm");
  reader.Require("model");
  reader.Text("vm", engine.vm);
  reader.Text("model", engine.model);
}

void ReadKeys(FieldReader& reader, Workspace& workspace) {
  std::vector<std::string> digests;
  reader.TextList("key_sha256", digests);
  for (const std::string& text : digests) {
    const auto digest = workspaces::ParseKeyDigest(text);
    if (!digest) {
      reader.Reject("key_sha256", "64 lower-case hexadecimal digits each");
      return;
    }
    workspace.keys.push_back(*digest);
  }
}

void ReadSpec(FieldReader& reader, Workspace& workspace) {
  reader.TextList("models", workspace.models);
  ReadKeys(reader, workspace);
  int64_t priority = -1;
  reader.Int("priority", 0, kMaxPriority, priority);
  if (priority >= 0) workspace.priority = static_cast<uint32_t>(priority);
  reader.Real("requests_per_second", 0, kMaxRate, workspace.rate.per_second);
  reader.Real("burst", 0, kMaxRate, workspace.rate.burst);
}

void ReadSpec(FieldReader& reader, Placement& placement) {
  reader.Require("model");
  reader.Text("model", placement.model);
  reader.ReadSelector("engines", placement.engines);
  int64_t replicas = placement.replicas;
  reader.Int("replicas", 0, kMaxReplicas, replicas);
  placement.replicas = static_cast<uint32_t>(replicas);
}

template <typename T>
T ReadObject(const json::object& top, FieldErrors& errors) {
  T object;
  FieldReader reader(top, "", errors);
  reader.Require("spec");
  reader.LabelMap("labels", object.labels);
  if (auto spec = reader.Child("spec")) {
    ReadSpec(*spec, object);
    spec->RejectUnknownFields();
  }
  reader.RejectUnknownFields();
  return object;
}

}  // namespace

template <typename T>
Parsed<T> Parse(std::string_view value) {
  json::error_code ec;
  const json::value parsed = json::parse(value, ec);
  if (ec) return FieldErrors{{"value", "not JSON: " + ec.message(), "JSON"}};
  if (!parsed.is_object()) {
    return FieldErrors{{"value", json::serialize(parsed), "an object"}};
  }
  FieldErrors errors;
  T object = ReadObject<T>(parsed.get_object(), errors);
  if (!errors.empty()) return errors;
  return object;
}

template Parsed<Engine> Parse(std::string_view value);
template Parsed<Placement> Parse(std::string_view value);
template Parsed<Policy> Parse(std::string_view value);
template Parsed<Workspace> Parse(std::string_view value);

}  // namespace knapweedstile::objects
