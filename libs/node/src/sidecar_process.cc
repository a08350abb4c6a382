#include "node/sidecar_process.h"

#include <fmt/core.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <variant>

#include "base/channel.h"
#include "base/clock.h"
#include "base/log.h"
#include "decision_loop.h"
#include "duty_thread.h"
#include "http/client.h"
#include "http/server.h"
#include "outbox.h"
#include "process_seed.h"
#include "sidecar_node.h"
#include "wire/transport.h"

namespace knapweedstile::node {
namespace {

constexpr size_t kRing = 16384;

// A call to the backend server, or its cancelling.
using BackendServerCommand = std::variant<http::ClientRequest, ExchangeId>;

// The threads of a sidecar and the rings between them.
class SidecarProcess {
 public:
  explicit SidecarProcess(const SidecarNodeSettings& settings)
      : settings_(settings),
        seed_(ProcessSeed()),
        node_(settings, seed_, MakePorts()),
        loop_(decisions_.io(), node_, [this] { AfterStep(); }),
        signals_(decisions_.io(), SIGTERM, SIGINT) {}

  int Run();

 private:
  SidecarNode::Ports MakePorts() {
    return {[this](wire::TransportCommand&& c) { to_fleet_.Push(std::move(c)); },
            [this](http::ClientRequest&& r) {
              to_backend_.Push(BackendServerCommand(std::move(r)));
            },
            [this](ExchangeId e) { to_backend_.Push(BackendServerCommand(e)); },
            [this](http::ServerCommand&& c) { to_admin_.Push(std::move(c)); }};
  }
  wire::TransportSettings WireSettings() const;
  void AfterStep();
  void WaitForSignal();
  void OnBackendServerCommand(BackendServerCommand&& command);

  SidecarNodeSettings settings_;
  uint64_t seed_;
  DutyThread decisions_;
  DutyThread fleet_;
  DutyThread backend_;  // calls to the backend server, and the operators' pages

  Channel<wire::TransportEvent> from_fleet_{
      kRing, decisions_.io(), [this](wire::TransportEvent&& e) {
        node_.OnWire(MonotonicNow(), std::move(e));
        AfterStep();
      }};
  Channel<http::ClientEvent> from_backend_{
      kRing, decisions_.io(), [this](http::ClientEvent&& e) {
        node_.OnBackendServer(MonotonicNow(), std::move(e));
        AfterStep();
      }};
  Channel<http::ServerEvent> from_admin_{
      kRing, decisions_.io(), [this](http::ServerEvent&& e) {
        node_.OnAdmin(MonotonicNow(), std::move(e));
        AfterStep();
      }};
  Outbox<wire::TransportCommand> to_fleet_{
      kRing, fleet_.io(),
      [this](wire::TransportCommand&& c) { transport_->Execute(std::move(c)); }};
  Outbox<BackendServerCommand> to_backend_{
      kRing, backend_.io(), [this](BackendServerCommand&& c) {
        OnBackendServerCommand(std::move(c));
      }};
  Outbox<http::ServerCommand> to_admin_{
      kRing, backend_.io(),
      [this](http::ServerCommand&& c) { admin_->Execute(std::move(c)); }};

  std::unique_ptr<wire::Transport> transport_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<http::Server> admin_;
  // Output of the backend server that did not fit the ring for a moment.
  std::deque<http::ClientEvent> backend_waiting_;

  SidecarNode node_;
  DecisionLoop<SidecarNode> loop_;
  boost::asio::signal_set signals_;
};

}  // namespace
}  // namespace knapweedstile::node
