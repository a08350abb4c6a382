#ifndef KNAPWEEDSTILE_GATEWAY_CONFIGURATION_LINK_H_
#define KNAPWEEDSTILE_GATEWAY_CONFIGURATION_LINK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/rng.h"
#include "base/time.h"
#include "http/client.h"
#include "http/server_event.h"
#include "platform/store_answer.h"

namespace knapweedstile::gateway {

// Fetches the configuration from gateways that advertise a newer version.
//
// Guards against a gateway that knows to be behind and depends on a way to the
// store: neither its own nor that of a peer has to work, since a gateway that
// advertises a version has it. Each attempt asks another gateway, and has ended
// soon if that one is cut off or stands still. Once one has failed, a single
// attempt with a longer deadline goes on beside them: on a jammed link packets
// wait for longer than an attempt usually takes, and attempts that begin again
// with the same deadline would never succeed.
class ConfigurationLink {
 public:
  struct Callbacks {
    // A gateway has sent its configuration, which may be any version.
    std::function<void(const platform::StoredObject&)> received;
    // Address of a gateway, "IP:PORT"; empty if unknown.
    std::function<std::string(const std::string& gateway)> address_of;
  };

  ConfigurationLink(boost::asio::io_context& io, uint64_t seed,
                    Callbacks callbacks);

  static bool IsTarget(std::string_view target);

  // The version that the gateway uses, according to its latest message.
  void OnAdvertised(const std::string& gateway, uint64_t version,
                    TimePoint now);
  // Sets the configuration in force, for requests of other gateways.
  void SetInForce(const platform::StoredObject& object) { in_force_ = object; }
  // Asks another gateway if `version`, the one in force here, is older than an
  // advertised one, for longer than a change takes to arrive.
  void Run(uint64_t version, TimePoint now);
  // The response to a request of another gateway.
  std::string Response() const;

 private:
  struct Advertisement {
    uint64_t version = 0;
    TimePoint received_at{};
  };

  // A gateway to ask that advertises a newer version than `version`; empty if
  // there is none.
  std::string ChooseSource(uint64_t version);
  // `patient`: with the longer deadline.
  void Ask(const std::string& gateway, bool patient, TimePoint now);
  void OnEvent(http::ClientEvent&& event, bool patient);

  Callbacks callbacks_;
  Rng rng_;
  std::map<std::string, Advertisement> advertised_;  // by gateway
  platform::StoredObject in_force_;
  // Gateways that were asked since each was asked once.
  std::set<std::string> asked_;
  TimePoint ask_at_ = kNever;
  // An attempt has failed since this gateway is behind.
  bool attempt_failed_ = false;
  uint64_t last_exchange_ = 0;
  using Pending =
      std::unordered_map<ExchangeId, std::string>;  // gateways asked
  Pending pending_;
  Pending pending_patient_;
  http::Client client_;
  http::Client patient_client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_CONFIGURATION_LINK_H_
