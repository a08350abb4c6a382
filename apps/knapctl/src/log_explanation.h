#ifndef KNAPWEEDSTILE_KNAPCTL_LOG_EXPLANATION_H_
#define KNAPWEEDSTILE_KNAPCTL_LOG_EXPLANATION_H_

#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::ctl {

// Returns the lines of `logs` that mention the request, item or job `id`
// (prefixed by "* ") and the state changes of its gateways and backend servers
// from `seconds` before to `seconds` after them, sorted by time. A second line
// of the text says why a request waited at a gateway or got no slot. Empty if
// no line mentions the id.
//
// Each line is placed by the clock of the VM that wrote it; clocks may differ.
std::vector<std::string> Explain(const std::vector<std::string>& logs,
                                 std::string_view id, double seconds);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_LOG_EXPLANATION_H_
