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

// Tells another entry how far items have come. Soft state: a note that is lost
// costs the events since the one before.
//
// Failure guarded against: an entry that is killed or stopped takes with it
// what its items have produced. At entries that are restarted in turn each item
// is begun again at every stop, and those of ten seconds are never in time.
class ProgressLink {
 public:
  using Updates = std::vector<serving::ProgressUpdate>;

  ProgressLink(boost::asio::io_context& io,
               std::function<void(Updates&&)> received);

  void Send(const std::string& address, const Updates& notes);
  static bool IsTarget(std::string_view target);
  void OnRequest(const http::RequestEvent& request);

 private:
  std::function<void(Updates&&)> received_;
  uint64_t last_exchange_ = 0;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PROGRESS_LINK_H_
