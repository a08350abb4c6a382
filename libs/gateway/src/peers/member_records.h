#ifndef KNAPWEEDSTILE_GATEWAY_MEMBER_RECORDS_H_
#define KNAPWEEDSTILE_GATEWAY_MEMBER_RECORDS_H_

#include <optional>
#include <string>
#include <string_view>

#include "cluster/cell_claim.h"
#include "cluster/fleet_layout.h"
#include "cluster/member.h"
#include "serving/cell.h"

namespace knapweedstile::gateway {

// Kind and record names of the fleet's member directory in the store:
//
//   node.NAME   a gateway's address and availability zone
//   layout      how batch jobs are divided into shards; created once
//   origins     where streams that may be resumed can have begun
//   claim.PARTS.PART.ZONE  whether a cell has departed
inline constexpr char kMemberKind[] = "knapweedstile-members";
inline constexpr char kLayoutName[] = "layout";
inline constexpr char kOriginsName[] = "origins";

std::string MemberRecordName(std::string_view gateway);
// Returns the gateway that the record belongs to, or nothing for other records.
std::optional<std::string> ParseMemberRecordName(std::string_view record);

std::string EncodeMember(const cluster::Member& member);
// Returns nothing if the text is not a valid member record.
std::optional<cluster::Member> DecodeMember(std::string_view value);
// The record of a claim to a cell's shards.
std::string ClaimRecordName(const serving::Cell& cell);
bool IsClaimRecordName(std::string_view record);

std::string EncodeClaim(const cluster::CellClaim& claim);
// Returns nothing if the text is not a valid claim.
std::optional<cluster::CellClaim> DecodeClaim(std::string_view value);
std::string EncodeLayout(const cluster::FleetLayout& layout);
std::optional<cluster::FleetLayout> DecodeLayout(std::string_view value);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_MEMBER_RECORDS_H_
