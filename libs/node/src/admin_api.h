#ifndef KNAPWEEDSTILE_NODE_ADMIN_API_H_
#define KNAPWEEDSTILE_NODE_ADMIN_API_H_

#include <boost/json/array.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/id.h"
#include "http/server_command.h"

namespace knapweedstile::observe {
class Timeline;
}

namespace knapweedstile::node {

// The part of a target before its query.
std::string_view PathOf(std::string_view target) noexcept;
// The value of one parameter of a target's query, percent-decoded; empty when
// it is absent.
std::string QueryValue(std::string_view target, std::string_view name);
// The same as a number; `standard` when it is absent or not a number.
uint64_t QueryNumber(std::string_view target, std::string_view name,
                     uint64_t standard);

http::RespondCommand JsonResponse(ExchangeId exchange, unsigned status,
                                  std::string body);
http::RespondCommand TextResponse(ExchangeId exchange, unsigned status,
                                  std::string body);

// The page of a process's time line: its clock, the peers' clocks as this
// process sees them, and the events after `after`.
std::string TimelinePage(const std::string& node,
                         const observe::Timeline& timeline,
                         const boost::json::array& peers, uint64_t after);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ADMIN_API_H_
