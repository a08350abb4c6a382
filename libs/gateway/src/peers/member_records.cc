#include "peers/member_records.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

constexpr std::string_view kPrefix = "node.";
constexpr std::string_view kClaimPrefix = "claim.";
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

std::optional<uint32_t> FindNumber(const json::object& object,
                                   std::string_view name, int64_t min,
                                   int64_t max) {
  const json::value* field = object.if_contains(name);
  if (!field || !field->is_int64()) return std::nullopt;
  const int64_t number = field->get_int64();
  if (number < min || number > max) return std::nullopt;
  return static_cast<uint32_t>(number);
}

json::object EncodeCell(const serving::Cell& cell) {
  return {{"zone", cell.availability_zone},
          {"parts", cell.parts},
          {"part", cell.part}};
}

std::optional<serving::Cell> DecodeCell(const json::value& value) {
  if (!value.is_object()) return std::nullopt;
  const json::object& object = value.get_object();
  const json::string* zone = FindString(object, "zone");
  const auto parts = FindNumber(object, "parts", 1, kMaxShards);
  const auto part = FindNumber(object, "part", 0, kMaxShards);
  if (!zone || !parts || !part || *part >= *parts) return std::nullopt;
  return serving::Cell{
      .availability_zone = std::string(*zone), .parts = *parts, .part = *part};
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

std::string ClaimRecordName(const serving::Cell& cell) {
  return fmt::format("{}{}.{}.{}", kClaimPrefix, cell.parts, cell.part,
                     cell.availability_zone);
}

bool IsClaimRecordName(std::string_view record) {
  return record.starts_with(kClaimPrefix);
}

std::string EncodeClaim(const cluster::CellClaim& claim) {
  return json::serialize(json::object{{"cell", EncodeCell(claim.cell)},
                                      {"state", NameOf(claim.state)},
                                      {"gateway", claim.gateway}});
}

std::optional<cluster::CellClaim> DecodeClaim(std::string_view value) {
  const auto object = ParseObject(value);
  if (!object) return std::nullopt;
  const json::value* cell_field = object->if_contains("cell");
  const json::string* state_name = FindString(*object, "state");
  const json::string* gateway = FindString(*object, "gateway");
  if (!cell_field || !state_name || !gateway) return std::nullopt;
  const auto cell = DecodeCell(*cell_field);
  const auto state = ParseEnum<cluster::ClaimState>(*state_name);
  if (!cell || !state) return std::nullopt;
  return cluster::CellClaim{*cell, *state, std::string(*gateway)};
}

std::string EncodeLayout(const cluster::FleetLayout& layout) {
  json::object object = {{"shards", layout.shards}};
  json::array cells;
  for (const serving::Cell& cell : layout.cells) {
    cells.push_back(EncodeCell(cell));
  }
  if (!cells.empty()) object["cells"] = std::move(cells);
  return json::serialize(object);
}

std::optional<cluster::FleetLayout> DecodeLayout(std::string_view value) {
  const auto object = ParseObject(value);
  if (!object) return std::nullopt;
  const auto shards = FindNumber(*object, "shards", 1, kMaxShards);
  if (!shards) return std::nullopt;
  cluster::FleetLayout layout{.shards = *shards};
  const json::value* cells = object->if_contains("cells");
  if (!cells) return layout;
  if (!cells->is_array()) return std::nullopt;
  for (const json::value& element : cells->get_array()) {
    const auto cell = DecodeCell(element);
    if (!cell) return std::nullopt;
    layout.cells.push_back(*cell);
  }
  return layout;
}

}  // namespace knapweedstile::gateway
