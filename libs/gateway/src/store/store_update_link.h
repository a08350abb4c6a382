#ifndef KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_LINK_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_LINK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "http/client.h"
#include "http/server_event.h"
#include "store/store_update.h"

namespace knapweedstile::gateway {

// Passes what an entry has read from the store to the others of its cell.
//
// Load: each entry following all kinds by itself costs calls in proportion to
// the fleet, most of them watches of servers.
// News that are lost show as a gap in the revisions, or in what other entries
// tell of newer ones, and the store is read.
class StoreUpdateLink {
 public:
  StoreUpdateLink(boost::asio::io_context& io,
                  std::function<void(StoreUpdate&&)> received);

  void Send(const std::vector<std::string>& addresses, const StoreUpdate& news);
  static bool IsTarget(std::string_view target);
  void OnRequest(const http::RequestEvent& request);

 private:
  std::function<void(StoreUpdate&&)> received_;
  uint64_t last_exchange_ = 0;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_LINK_H_
