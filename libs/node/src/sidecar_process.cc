#include "node/sidecar_process.h"

#include <fmt/core.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <future>
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
#include "process_address.h"
#include "process_seed.h"
#include "sidecar_node.h"
#include "wire/transport.h"
#include "wire_settings.h"

namespace knapweedstile::node {
namespace {

constexpr size_t kRing = 16384;
// For the last answers to be written and read when the process ends.
constexpr std::chrono::milliseconds kLastWrites{5000};

// A call to the backend server, or its cancelling.
using BackendServerCommand = std::variant<http::ClientRequest, ExchangeId>;

// The threads of a sidecar and the rings between them.
class SidecarProcess {
 public:
  explicit SidecarProcess(const SidecarNodeSettings& settings)
      : settings_(settings),
        seed_(ProcessSeed()),
        node_(settings, seed_, MonotonicNow(), MakePorts()),
        loop_(decisions_.io(), node_, [this] { AfterStep(); }),
        signals_(decisions_.io(), SIGTERM, SIGINT) {}

  int Run();

 private:
  SidecarNode::Ports MakePorts() {
    return {
        [this](wire::TransportCommand&& c) { to_fleet_.Push(std::move(c)); },
        [this](http::ClientRequest&& r) {
          to_backend_.Push(BackendServerCommand(std::move(r)));
        },
        [this](ExchangeId e) { to_backend_.Push(BackendServerCommand(e)); },
        [this](http::ServerCommand&& c) { to_admin_.Push(std::move(c)); }};
  }
  wire::TransportSettings WireSettings() const;
  int ListenAndServe();
  void SendWhatIsLeft();
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
  // The probes bring an event at least every health period, so that what waits
  // in this outbox never waits for long.
  Outbox<http::ClientEvent> from_backend_{
      kRing, decisions_.io(), [this](http::ClientEvent&& e) {
        node_.OnBackendServer(MonotonicNow(), std::move(e));
        AfterStep();
      }};
  Channel<http::ServerEvent> from_admin_{
      kRing, decisions_.io(), [this](http::ServerEvent&& e) {
        node_.OnAdmin(MonotonicNow(), std::move(e));
        AfterStep();
      }};
  Outbox<wire::TransportCommand> to_fleet_{kRing, fleet_.io(),
                                           [this](wire::TransportCommand&& c) {
                                             transport_->Execute(std::move(c));
                                           }};
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
  SidecarNode node_;
  DecisionLoop<SidecarNode> loop_;
  boost::asio::signal_set signals_;
};

wire::TransportSettings SidecarProcess::WireSettings() const {
  wire::TransportSettings wire =
      WireSettingsOf(settings_.node, pb::ROLE_SIDECAR, seed_);
  wire.hello.set_target(settings_.target);
  return wire;
}

void SidecarProcess::OnBackendServerCommand(BackendServerCommand&& command) {
  if (auto* call = std::get_if<http::ClientRequest>(&command)) {
    client_->Send(std::move(*call));
  } else {
    client_->Cancel(std::get<ExchangeId>(command));
  }
}

void SidecarProcess::AfterStep() {
  to_fleet_.Flush();
  to_backend_.Flush();
  to_admin_.Flush();
  if (node_.Drained()) {
    decisions_.io().stop();
    return;
  }
  loop_.Rearm();
}

void SidecarProcess::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int) {
    if (error) return;
    node_.BeginDrain(MonotonicNow());
    AfterStep();
    WaitForSignal();
  });
}

int SidecarProcess::Run() {
  transport_ = std::make_unique<wire::Transport>(
      fleet_.io(), WireSettings(), [this](wire::TransportEvent&& e) {
        return from_fleet_.TryPush(std::move(e));
      });
  client_ = std::make_unique<http::Client>(
      backend_.io(), http::ClientSettings(),
      [this](http::ClientEvent&& e) { from_backend_.Push(std::move(e)); });
  admin_ = std::make_unique<http::Server>(
      backend_.io(), http::ServerSettings(), [this](http::ServerEvent&& e) {
        return from_admin_.TryPush(std::move(e));
      });
  const int exit_code = ListenAndServe();
  if (exit_code == 0) SendWhatIsLeft();
  fleet_.Stop();
  backend_.Stop();
  transport_->Close();
  client_->Close();
  admin_->Close();
  return exit_code;
}

// The last answers are queued, but neither written nor read by the entries yet.
void SidecarProcess::SendWhatIsLeft() {
  const TimePoint deadline = MonotonicNow() + kLastWrites;
  fleet_.PollUntil(deadline, [this] {
    to_fleet_.Flush();
    return to_fleet_.Empty();
  });
  std::promise<void> closed;
  boost::asio::post(fleet_.io(), [&, this] {
    transport_->Shutdown(deadline, [&closed] { closed.set_value(); });
  });
  closed.get_future().wait();
}

int SidecarProcess::ListenAndServe() {
  const auto fleet_port = transport_->Listen(settings_.node.fleet_listen);
  const auto admin_port = admin_->Listen(settings_.node.admin_listen);
  if (!fleet_port || !admin_port) {
    LogError("listen_failed", {{"fleet", settings_.node.fleet_listen},
                               {"admin", settings_.node.admin_listen}});
    return kExitListenFailed;
  }
  fmt::print("role=sidecar node={} fleet={} admin={}\n", settings_.node.name,
             WithPort(settings_.node.fleet_listen, *fleet_port),
             WithPort(settings_.node.admin_listen, *admin_port));
  std::fflush(stdout);
  fleet_.Start();
  backend_.Start();
  WaitForSignal();
  loop_.Rearm();
  decisions_.io().run();
  LogInfo("stopped", {{"cut", node_.Drained() ? 0 : 1}});
  return 0;
}

}  // namespace

int RunSidecar(const SidecarNodeSettings& settings) {
  ConfigureLog(settings.node.log_level, settings.node.name);
  SidecarProcess process(settings);
  return process.Run();
}

}  // namespace knapweedstile::node
