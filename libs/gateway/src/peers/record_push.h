#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_PUSH_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_PUSH_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/error.h"
#include "http/client.h"
#include "http/server.h"
#include "peers/store_record.h"

namespace knapweedstile::gateway {

// Sends records that this entry has written to the store straight to the other
// entries, so that they need not ask the store for each.
//
// The store stays the only truth: a record is pushed after it is written. What
// does not arrive is found by the count that each entry tells in its datagrams
// (peer_state.h), and is then read from the store. Without the push every
// record costs a call of every entry: two thirds of all calls.
class RecordPush {
 public:
  struct Handlers {
    // Records of another entry; `count` is how many it has written by then.
    // Returns how many of them are known here without a gap.
    std::function<uint64_t(const std::string& entry, uint64_t start,
                           uint64_t count, std::vector<StoreRecord>&& records)>
        received;
    // Another entry has acknowledged records of this one.
    std::function<void()> acknowledged;
  };

  RecordPush(boost::asio::io_context& io, std::string name, uint64_t start,
             Handlers handlers);

  // Requests for other targets go to `handler`.
  void SetOtherHandler(
      std::function<void(http::RequestEvent&& request)> handler) {
    other_handler_ = std::move(handler);
  }
  // A gateway no longer waits for the answer to its request.
  void SetDisconnectHandler(std::function<void(ExchangeId exchange)> handler) {
    disconnect_handler_ = std::move(handler);
  }
  Result<bool> Listen(const std::string& address);
  void Respond(ExchangeId exchange, std::string body);
  // Whether the exchange is of another gateway's request; and its answer.
  static bool IsPeerExchange(ExchangeId exchange);
  void Execute(http::ServerCommand&& command);
  // Queues a record, just written, for the entries at `addresses`.
  void Push(const StoreRecord& record,
            const std::map<std::string, std::string>& addresses);
  // The entry at `address` has read the store: it has this entry's records up
  // to `count`.
  void OnAcknowledged(const std::string& address, uint64_t count);
  // How many of this entry's records each of the entries at `addresses` has.
  uint64_t AcknowledgedBy(
      const std::map<std::string, std::string>& addresses) const;
  // Records written by this entry since its start.
  uint64_t count() const noexcept { return count_; }

 private:
  struct Outbox {
    // Packed once for all entries.
    std::deque<std::shared_ptr<const std::string>> records;
    uint64_t count = 0;  // written when the last of them was
    bool in_flight = false;
    uint64_t acknowledged = 0;  // the entry has all records up to this one
  };
  void SendNext(const std::string& address);
  void OnSent(http::ClientEvent&& event);
  bool OnRequest(http::ServerEvent&& event);

  std::string name_;
  uint64_t start_;
  Handlers handlers_;
  std::function<void(http::RequestEvent&&)> other_handler_;
  std::function<void(ExchangeId)> disconnect_handler_;
  uint64_t count_ = 0;
  uint64_t last_exchange_ = 0;
  std::map<std::string, Outbox> outboxes_;  // by address
  std::unordered_map<ExchangeId, std::string> exchanges_;
  http::Server server_;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_PUSH_H_
