#ifndef KNAPWEEDSTILE_KNAPCTL_NODE_PAGES_H_
#define KNAPWEEDSTILE_KNAPCTL_NODE_PAGES_H_

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace knapweedstile::ctl {

// One process's JSON page; empty when it does not answer.
struct NodePage {
  std::string address;
  boost::json::object page;
};

// The page at `target` of each of the operators' addresses.
std::vector<NodePage> FetchPages(const std::vector<std::string>& admins,
                                 const std::string& target);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_NODE_PAGES_H_
