#include "peers/member_records.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

constexpr std::string_view kPrefix = "node.";
// Upper bound for a valid layout; no fleet has this many gateways, so a larger
// count is an error.
constexpr int64_t kMaxShards = 1 << 16;

std::optional<json::object> ParseObject(std::string_view text) {
  json::error_code ec;
  json::value parsed = json::parse({text.data(), text.size()}, ec);
  if (ec || !parsed.is_object()) return std::nullopt;
  return std::move(parsed.get_object());
}

const json::string* FindString(const json::object& object,
                               std::string_view name) {
  const json::value* field = object.if_contains(name);
  return field ? field->if_string() : nullptr;
}

}  // namespace

std::string MemberRecordName(std::string_view gateway) {
  return fmt::format("{}{}", kPrefix, gateway);
}

std::optional<std::string> ParseMemberRecordName(std::string_view record) {
  if (!record.starts_with(kPrefix)) return std::nullopt;
  return std::string(record.substr(kPrefix.size()));
}

std::string EncodeMember(const cluster::Member& member) {
  return json::serialize(json::object{{"address", member.address},
                                      {"zone", member.availability_zone},
                                      {"cores", member.processor_share}});
}

std::optional<cluster::Member> DecodeMember(std::string_view value) {
  const auto object = ParseObject(value);
  if (!object) return std::nullopt;
  const json::string* address = FindString(*object, "address");
  const json::string* zone = FindString(*object, "zone");
  if (!address || !zone) return std::nullopt;
  cluster::Member member{.address = std::string(*address),
                         .availability_zone = std::string(*zone)};
  const json::value* cores = object->if_contains("cores");
  if (cores && cores->is_number()) {
    member.processor_share = cores->to_number<double>();
  }
  return member;
}

std::string EncodeLayout(const cluster::FleetLayout& layout) {
  return json::serialize(json::object{{"shards", layout.shards}});
}

std::optional<cluster::FleetLayout> DecodeLayout(std::string_view value) {
  const auto object = ParseObject(value);
  const json::value* shards = object ? object->if_contains("shards") : nullptr;
  if (!shards || !shards->is_int64()) return std::nullopt;
  const int64_t count = shards->get_int64();
  if (count < 1 || count > kMaxShards) return std::nullopt;
  return cluster::FleetLayout{.shards = static_cast<uint32_t>(count)};
}

}  // namespace knapweedstile::gateway
