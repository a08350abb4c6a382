// A TCP proxy that injects faults on the order of a test.

#include "base/log.h"
#include "program.h"
#include "proxy.h"
#include "stand_in.h"

namespace knapweedstile::standins {
namespace {

// Answers `POST /fault` and `GET /fault`; false when the mode is unknown.
bool TakeOrder(Proxy& proxy, const http::RequestEvent& request) {
  if (request.method != "POST") return true;
  const boost::json::object order = ParseObject(request.body);
  const auto mode = ParseEnum<FaultMode>(StringOr(order, "mode"));
  if (!mode) return false;
  const auto* only_existing = order.if_contains("only_existing");
  proxy.Strike(
      {.mode = *mode,
       .delay = std::chrono::milliseconds(IntOr(order, "ms", 0)),
       .after_bytes = static_cast<uint64_t>(IntOr(order, "after_bytes", 0)),
       .for_good = only_existing && only_existing->is_bool() &&
                   only_existing->as_bool()});
  return true;
}

int Serve(const cxxopts::ParseResult& flags) {
  const auto listen = flags["listen"].as<std::string>();
  StandIn process("fault_proxy");
  Proxy proxy(process.io(), listen, flags["to"].as<std::string>());
  if (!process.Announce("control", flags["control"].as<std::string>()))
    return 1;
  PrintAddress("address", listen.substr(0, listen.rfind(':')), proxy.port());
  return process.Run([&](const http::RequestEvent& request) {
    if (!TakeOrder(proxy, request)) {
      return process.RespondError(request.exchange, 400, "unknown mode");
    }
    process.RespondJson(request.exchange, 200, proxy.Counts());
  });
}

}  // namespace
}  // namespace knapweedstile::standins

int main(int argc, char** argv) {
  cxxopts::Options options("fault_proxy");
  options.add_options()("to", "IP:PORT of the server behind",
                        cxxopts::value<std::string>())(
      "control", "IP:PORT of the control address",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  return knapweedstile::standins::RunProgram(options, argc, argv,
                                             knapweedstile::standins::Serve);
}
