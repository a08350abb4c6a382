#include "node/entry_process.h"

#include <fmt/core.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>

#include "base/channel.h"
#include "base/clock.h"
#include "base/log.h"
#include "decision_loop.h"
#include "duty_thread.h"
#include "entry_node.h"
#include "http/server.h"
#include "outbox.h"
#include "platform/http_platform.h"
#include "process_address.h"
#include "process_seed.h"
#include "wire/transport.h"
#include "wire_settings.h"

namespace knapweedstile::node {
namespace {

constexpr size_t kRing = 16384;
// For the last answers to be written when the process ends.
constexpr std::chrono::milliseconds kLastWrites{5000};

// The threads of an entry and the rings between them.
class EntryProcess {
 public:
  explicit EntryProcess(const EntryNodeSettings& settings)
      : settings_(settings),
        seed_(ProcessSeed()),
        node_(settings, seed_, MonotonicNow(), MakePorts()),
        loop_(decisions_.io(), node_, [this] { AfterStep(); }),
        signals_(decisions_.io(), SIGTERM, SIGINT) {}

  int Run();

 private:
  EntryPorts MakePorts();
  int ListenAndServe();
  void SendWhatIsLeft();
  void AfterStep();
  void WaitForSignal();

  EntryNodeSettings settings_;
  uint64_t seed_;
  DutyThread decisions_;
  DutyThread callers_;   // callers' connections, and the operators' pages
  DutyThread fleet_;     // streams to other processes of the system
  DutyThread platform_;  // calls to the platform

  Channel<http::ServerEvent> from_callers_{
      kRing, decisions_.io(), [this](http::ServerEvent&& e) {
        node_.OnCallers(MonotonicNow(), std::move(e));
        AfterStep();
      }};
  Channel<http::ServerEvent> from_admin_{
      kRing, decisions_.io(), [this](http::ServerEvent&& e) {
        node_.OnAdmin(MonotonicNow(), std::move(e));
        AfterStep();
      }};
  Channel<wire::TransportEvent> from_fleet_{
      kRing, decisions_.io(), [this](wire::TransportEvent&& e) {
        node_.OnWire(MonotonicNow(), std::move(e));
        AfterStep();
      }};
  Outbox<platform::StoreAnswer> from_platform_{
      kRing, decisions_.io(), [this](platform::StoreAnswer&& a) {
        node_.OnPlatform(MonotonicNow(), std::move(a));
        AfterStep();
      }};
  Outbox<http::ServerCommand> to_callers_{
      kRing, callers_.io(), [this](http::ServerCommand&& c) {
        callers_server_->Execute(std::move(c));
      }};
  Outbox<http::ServerCommand> to_admin_{
      kRing, callers_.io(),
      [this](http::ServerCommand&& c) { admin_->Execute(std::move(c)); }};
  Outbox<wire::TransportCommand> to_fleet_{kRing, fleet_.io(),
                                           [this](wire::TransportCommand&& c) {
                                             transport_->Execute(std::move(c));
                                           }};
  Outbox<platform::StoreRequest> to_platform_{
      kRing, platform_.io(), [this](platform::StoreRequest&& r) {
        platform_client_->Call(std::move(r));
      }};

  std::unique_ptr<http::Server> callers_server_;
  std::unique_ptr<http::Server> admin_;
  std::unique_ptr<wire::Transport> transport_;
  std::unique_ptr<platform::HttpPlatform> platform_client_;

  EntryNode node_;
  DecisionLoop<EntryNode> loop_;
  boost::asio::signal_set signals_;
};

EntryPorts EntryProcess::MakePorts() {
  EntryPorts ports;
  ports.callers = [this](http::ServerCommand&& c) {
    to_callers_.Push(std::move(c));
  };
  ports.admin = [this](http::ServerCommand&& c) {
    to_admin_.Push(std::move(c));
  };
  ports.wire = [this](wire::TransportCommand&& c) {
    to_fleet_.Push(std::move(c));
  };
  ports.platform = [this](platform::StoreRequest&& r) {
    to_platform_.Push(std::move(r));
  };
  ports.stop_accepting = [this] {
    boost::asio::post(callers_.io(),
                      [this] { callers_server_->StopAccepting(); });
  };
  return ports;
}

void EntryProcess::AfterStep() {
  to_callers_.Flush();
  to_admin_.Flush();
  to_fleet_.Flush();
  to_platform_.Flush();
  if (node_.Drained(MonotonicNow())) {
    decisions_.io().stop();
    return;
  }
  loop_.Rearm();
}

void EntryProcess::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int) {
    if (error) return;
    node_.BeginDrain(MonotonicNow());
    AfterStep();
    WaitForSignal();
  });
}

int EntryProcess::Run() {
  callers_server_ = std::make_unique<http::Server>(
      callers_.io(), settings_.http, [this](http::ServerEvent&& e) {
        return from_callers_.TryPush(std::move(e));
      });
  admin_ = std::make_unique<http::Server>(
      callers_.io(), http::ServerSettings(), [this](http::ServerEvent&& e) {
        return from_admin_.TryPush(std::move(e));
      });
  transport_ = std::make_unique<wire::Transport>(
      fleet_.io(), WireSettingsOf(settings_.node, pb::ROLE_ENTRY, seed_),
      [this](wire::TransportEvent&& e) {
        return from_fleet_.TryPush(std::move(e));
      });
  platform_client_ = std::make_unique<platform::HttpPlatform>(
      platform_.io(), settings_.platform_addresses,
      [this](platform::StoreAnswer&& a) { from_platform_.Push(std::move(a)); });
  const int exit_code = ListenAndServe();
  if (exit_code == 0) SendWhatIsLeft();
  callers_.Stop();
  fleet_.Stop();
  platform_.Stop();
  callers_server_->Close();
  admin_->Close();
  transport_->Close();
  return exit_code;
}

// The last answers are queued, but not written to their callers yet.
void EntryProcess::SendWhatIsLeft() {
  const TimePoint deadline = MonotonicNow() + kLastWrites;
  callers_.PollUntil(deadline, [this] {
    to_callers_.Flush();
    return to_callers_.Empty() && callers_server_->open_exchanges() == 0;
  });
}

int EntryProcess::ListenAndServe() {
  const auto callers_port = callers_server_->Listen(settings_.callers_listen);
  const auto fleet_port = transport_->Listen(settings_.node.fleet_listen);
  const auto admin_port = admin_->Listen(settings_.node.admin_listen);
  if (!callers_port || !fleet_port || !admin_port) {
    LogError("listen_failed", {{"callers", settings_.callers_listen},
                               {"fleet", settings_.node.fleet_listen},
                               {"admin", settings_.node.admin_listen}});
    return kExitListenFailed;
  }
  fmt::print("role=entry node={} callers={} fleet={} admin={}\n",
             settings_.node.name,
             WithPort(settings_.callers_listen, *callers_port),
             WithPort(settings_.node.fleet_listen, *fleet_port),
             WithPort(settings_.node.admin_listen, *admin_port));
  std::fflush(stdout);
  callers_.Start();
  fleet_.Start();
  platform_.Start();
  WaitForSignal();
  loop_.Rearm();
  decisions_.io().run();
  LogInfo("stopped", {{"cut", node_.open_requests()}});
  return 0;
}

}  // namespace

int RunEntry(const EntryNodeSettings& settings) {
  ConfigureLog(settings.node.log_level, settings.node.name);
  EntryProcess process(settings);
  return process.Run();
}

}  // namespace knapweedstile::node
