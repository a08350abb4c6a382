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

// Sends the progress of batch items to peers, and passes the progress that
// peers send to `received`. Updates are best effort: each holds the whole
// output of the item so far and replaces the previous one. If an update is lost
// and the gateway then ends, a peer resumes the item after the previous update.
//
// Guards against losing the output of running items when their gateway is
// killed or stopped. During a rolling restart an item would be restarted from
// the beginning each time the gateway that runs it stops, and items that run
// for ten seconds would never complete in time.
class ProgressLink {
 public:
  using Updates = std::vector<serving::ProgressUpdate>;

  ProgressLink(boost::asio::io_context& io,
               std::function<void(Updates&&)> received);

  // Returns the size of the message.
  size_t Send(const std::string& address, const Updates& updates);
  // Whether peers send progress to this request target.
  static bool IsTarget(std::string_view target);
  // Handles a peer's request to that target. The caller sends the response.
  void OnRequest(const http::RequestEvent& request);

 private:
  std::function<void(Updates&&)> received_;
  uint64_t last_exchange_ = 0;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PROGRESS_LINK_H_
