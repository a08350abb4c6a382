#include "node_pages.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "http_call.h"
#include "output.h"

namespace knapweedstile::ctl {

std::vector<NodePage> FetchPages(const std::vector<std::string>& admins,
                                 const std::string& target) {
  constexpr std::chrono::milliseconds kTimeout{3000};
  std::vector<NodePage> pages;
  for (const std::string& admin : admins) {
    HttpCall call;
    call.address = admin;
    call.target = target;
    call.timeout = kTimeout;
    const http::EndEvent end = Send(call);
    NodePage page{admin, {}};
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(end.body, error);
    if (!error && value.is_object()) {
      page.fields = std::move(value.get_object());
    } else {
      PrintError(admin + " does not respond: " + end.message);
    }
    pages.push_back(std::move(page));
  }
  return pages;
}

}  // namespace knapweedstile::ctl
