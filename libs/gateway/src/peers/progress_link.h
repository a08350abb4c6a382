#ifndef KNAPWEEDSTILE_GATEWAY_PROGRESS_LINK_H_
#define KNAPWEEDSTILE_GATEWAY_PROGRESS_LINK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "http/client.h"
#include "http/server_event.h"
#include "serving/progress_outcome.h"
#include "serving/progress_update.h"

namespace knapweedstile::gateway {

// Sends the progress of batch items to peers, and passes the progress that
// peers send to `received`. Updates are best effort. Each holds the output
// since the item's previous update; the receiver of one that does not continue
// what it has asks for the whole output, which is also sent after an update
// that was not answered. If an update is lost and the gateway then ends, a peer
// resumes the item after the previous update.
//
// Guards against losing the output of running items when their gateway is
// killed or stopped. During a rolling restart an item would be restarted from
// the beginning each time the gateway that runs it stops, and items that run
// for ten seconds would never complete in time.
class ProgressLink {
 public:
  using Updates = std::vector<serving::ProgressUpdate>;
  struct Callbacks {
    std::function<serving::ProgressOutcome(serving::ProgressUpdate&&)> received;
    // The peer has not applied the update that was sent, or may not have.
    std::function<void(const std::string& job, const std::string& item,
                       serving::ProgressOutcome outcome)>
        not_applied;
  };

  ProgressLink(boost::asio::io_context& io, Callbacks callbacks);

  // Returns the size of the message.
  size_t Send(const std::string& address, const Updates& updates);
  // Whether peers send progress to this request target.
  static bool IsTarget(std::string_view target);
  // Handles a peer's request to that target. Returns the body of the response.
  std::string OnRequest(const http::RequestEvent& request);

 private:
  struct SentItem {
    std::string job;
    std::string item;
  };

  void OnEvent(const http::ClientEvent& event);
  void ReportNotApplied(const std::vector<SentItem>& sent,
                        const std::string& response);

  Callbacks callbacks_;
  uint64_t last_exchange_ = 0;
  std::unordered_map<ExchangeId, std::vector<SentItem>> sent_;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PROGRESS_LINK_H_
