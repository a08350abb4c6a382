#ifndef KNAPWEEDSTILE_JOBS_JSON_FIELDS_H_
#define KNAPWEEDSTILE_JOBS_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::jobs {

// Reading of stored JSON: an absent or wrong field reads as zero or empty.

std::optional<boost::json::object> ParseObject(std::string_view text);
uint64_t UintOf(const boost::json::value& value);
uint64_t UintAt(const boost::json::object& object, std::string_view name);
int64_t IntAt(const boost::json::object& object, std::string_view name);
std::string TextAt(const boost::json::object& object, std::string_view name);
bool BoolAt(const boost::json::object& object, std::string_view name);
// The numbers of a flat list.
std::vector<uint64_t> UintsAt(const boost::json::object& object,
                              std::string_view name);
// Null when absent or no object.
const boost::json::object* ObjectAt(const boost::json::object& object,
                                    std::string_view name);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JSON_FIELDS_H_
