#ifndef KNAPWEEDSTILE_GATEWAY_PROGRESS_LINK_H_
#define KNAPWEEDSTILE_GATEWAY_PROGRESS_LINK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "http/client.h"
#include "http/server_event.h"
#include "serving/progress_update.h"

namespace knapweedstile::gateway {

// Sends the progress of batch items to a peer. The state is soft: a lost update
// costs the events since the previous one.
//
// Guards against losing the output of running items when their gateway is
// killed or stopped. During a rolling restart each item would be restarted from
// the beginning at every stop, and items of ten seconds would never complete in
// time.
class ProgressLink {
 public:
  using Updates = std::vector<serving::ProgressUpdate>;

  ProgressLink(boost::asio::io_context& io,
               std::function<void(Updates&&)> received);

  void Send(const std::string& address, const Updates& updates);
  static bool IsTarget(std::string_view target);
  void OnRequest(const http::RequestEvent& request);

 private:
  std::function<void(Updates&&)> received_;
  uint64_t last_exchange_ = 0;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PROGRESS_LINK_H_
