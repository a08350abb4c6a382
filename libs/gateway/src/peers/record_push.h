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

struct ResourceLimits;

// Sends records that this gateway has written to the store directly to its
// peers, so that they need not read each from the store.
//
// The store remains the source of truth: a record is pushed after it is
// written. Peers detect lost pushes by the record count that each gateway
// advertises in its datagrams (peer_state.h), and then read the store. Without
// the push, every record would cost a store call on every gateway, two thirds
// of all calls.
class RecordPush {
 public:
  struct Handlers {
    // Records from a peer; `count` is the number of records it has written so
    // far. Returns how many of its records this gateway has received without a
    // gap.
    std::function<uint64_t(const std::string& peer, uint64_t start,
                           uint64_t count, std::vector<StoreRecord>&& records)>
        received;
    // A peer has acknowledged records of this gateway.
    std::function<void()> acknowledged;
    // Bytes were queued for peers; `cause` is "records" or "outlines".
    std::function<void(std::string_view cause, uint64_t bytes)> queued;
  };

  RecordPush(boost::asio::io_context& io, const ResourceLimits& limits,
             std::string name, uint64_t start, Handlers handlers);

  // Sets the handler of requests for other targets.
  void SetOtherHandler(
      std::function<void(http::RequestEvent&& request)> handler) {
    other_handler_ = std::move(handler);
  }
  // Sets the handler that is called when a peer disconnects before its request
  // is answered.
  void SetDisconnectHandler(std::function<void(ExchangeId exchange)> handler) {
    disconnect_handler_ = std::move(handler);
  }
  Result<bool> Listen(const std::string& address);
  void Respond(ExchangeId exchange, std::string body);
  // Whether the exchange belongs to a request from a peer, as opposed to a
  // caller.
  static bool IsPeerExchange(ExchangeId exchange);
  void Execute(http::ServerCommand&& command);
  // Queues a record that was just written for the peers at `addresses`, by
  // name.
  void Push(const StoreRecord& record,
            const std::map<std::string, std::string>& addresses);
  // Queues it for the peers in `holders` and its outline for the others.
  void Push(const StoreRecord& record, const StoreRecord& outline,
            const std::map<std::string, std::string>& addresses,
            const std::vector<std::string>& holders);
  // Notes that the peer at `address` has all records of this gateway up to
  // `count`.
  void OnAcknowledged(const std::string& address, uint64_t count);
  // Number of this gateway's records that all peers at `addresses` have
  // acknowledged.
  uint64_t AcknowledgedBy(
      const std::map<std::string, std::string>& addresses) const;
  // Number of records written by this gateway process.
  uint64_t count() const noexcept { return count_; }

 private:
  struct Outbox {
    // Packed once and shared by all peers.
    std::deque<std::shared_ptr<const std::string>> records;
    uint64_t count = 0;  // records written up to the last queued one
    bool in_flight = false;
    uint64_t acknowledged = 0;  // the peer has all records up to this count
  };
  // Queues a packed record for one peer and counts it for `cause`.
  void Queue(const std::string& address,
             const std::shared_ptr<const std::string>& packed,
             std::string_view cause);
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
