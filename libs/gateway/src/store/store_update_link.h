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

// Forwards what a gateway has read from the store to the other gateways in its
// cell.
//
// If each gateway followed all kinds by itself, store calls would grow in
// proportion to the fleet; most are watches of servers. A lost update shows as
// a gap in the revisions, or as a newer revision advertised by peers; the store
// is then read.
class StoreUpdateLink {
 public:
  StoreUpdateLink(boost::asio::io_context& io,
                  std::function<void(StoreUpdate&&)> received);

  void Send(const std::vector<std::string>& addresses,
            const StoreUpdate& update);
  static bool IsTarget(std::string_view target);
  void OnRequest(const http::RequestEvent& request);

 private:
  std::function<void(StoreUpdate&&)> received_;
  uint64_t last_exchange_ = 0;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_LINK_H_
