#include "gateway/gateway_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <functional>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "gateway.h"
#include "store_role.h"

namespace knapweedstile::gateway {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitCannotListen = 3;

// Calls `stop` at SIGTERM or SIGINT and `reload` at SIGHUP, until the process
// ends.
void WaitForSignal(boost::asio::signal_set& signals,
                   const std::function<void()>& stop) {
  signals.async_wait(
      [&signals, stop](const boost::system::error_code& ec, int signal) {
        if (ec) return;
        if (signal == SIGHUP) {
          // Settings from the file do not change while the process runs; what
          // operators change is read from the store.
          LogInfo("reload_requested");
        } else {
          stop();
        }
        WaitForSignal(signals, stop);
      });
}

uint64_t SeedOf(const GatewaySettings& settings) {
  return Hash64(settings.name, static_cast<uint64_t>(WallClockNanos()));
}

}  // namespace

int RunGateway(const GatewaySettings& settings) {
  ConfigureLog(settings.log_level, settings.name, LogStream::kStandardOutput);
  boost::asio::io_context io(1);
  Gateway gateway(io, settings, SeedOf(settings));
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  WaitForSignal(signals, [&gateway] { gateway.BeginStop(); });
  const int code = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_CHECK(gateway.Start());
        LogInfo("started",
                {{"role", "gateway"},
                 {"callers", settings.callers_address},
                 {"store", settings.store_address},
                 {"unexplained_bounds", settings.unexplained_bounds.empty()
                                            ? "-"
                                            : settings.unexplained_bounds}});
        return kExitOk;
      },
      [](const Error& error) {
        LogError("cannot_start", {{"reason", error.message}});
        return kExitCannotListen;
      },
      [] { return kExitCannotListen; });
  if (code != kExitOk) return code;
  io.run();
  return kExitOk;
}

int RunStore(const GatewaySettings& settings) {
  ConfigureLog(settings.log_level, settings.name, LogStream::kStandardOutput);
  boost::asio::io_context io(1);
  StoreRole role(io, settings);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  WaitForSignal(signals, [&io] {
    LogInfo("stopped");
    io.stop();
  });
  LogInfo("started", {{"role", "store"}, {"store", settings.store_address}});
  role.Start();
  io.run();
  return kExitOk;
}

}  // namespace knapweedstile::gateway
