#ifndef KNAPWEEDSTILE_KNAPCTL_NODE_PAGES_H_
#define KNAPWEEDSTILE_KNAPCTL_NODE_PAGES_H_

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace knapweedstile::ctl {

// JSON page of one process; `fields` is empty if the process does not respond.
struct NodePage {
  std::string address;
  boost::json::object fields;
};

// Fetches the page at `target` from each admin address, in their order. Prints
// an error for each process that does not respond.
std::vector<NodePage> FetchPages(const std::vector<std::string>& admins,
                                 const std::string& target);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_NODE_PAGES_H_
