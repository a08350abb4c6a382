#ifndef KNAPWEEDSTILE_GATEWAY_GATEWAY_REGISTRATION_H_
#define KNAPWEEDSTILE_GATEWAY_GATEWAY_REGISTRATION_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "cluster/member.h"

namespace knapweedstile::gateway {

class StoreCalls;

// Writes to the store where this entry takes datagrams of the others, and tries
// until it stands there.
class GatewayRegistration {
 public:
  GatewayRegistration(boost::asio::io_context& io, StoreCalls& store,
                      std::string entry, const cluster::Member& own);

  // `version` and `value` of the record that is there; zero: none. Nothing is
  // written once it stands there as it should.
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
