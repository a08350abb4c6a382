#ifndef KNAPWEEDSTILE_GATEWAY_GATEWAY_REGISTRATION_H_
#define KNAPWEEDSTILE_GATEWAY_GATEWAY_REGISTRATION_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "cluster/member.h"

namespace knapweedstile::gateway {

class StoreCalls;

// Registers this gateway in the store: writes the address at which it receives
// peer datagrams, and retries until the write succeeds.
class GatewayRegistration {
 public:
  GatewayRegistration(boost::asio::io_context& io, StoreCalls& store,
                      std::string gateway, const cluster::Member& own);

  // Takes the `version` and `value` of the stored record; version 0 means that
  // there is none. Writes nothing if the record is already correct. Only the
  // first call has an effect.
  void Register(uint64_t version, const std::string& value);

 private:
  void Write(uint64_t version);

  boost::asio::io_context& io_;
  StoreCalls& store_;
  std::string gateway_;
  std::string value_;
  bool started_ = false;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_GATEWAY_REGISTRATION_H_
