// Stands in for the platform's object API and VM list.

#include "platform_service.h"
#include "program.h"

namespace knapweedstile::standins {
namespace {

int Serve(const cxxopts::ParseResult& flags) {
  PlatformSettings settings;
  settings.vm_lag = std::chrono::milliseconds(flags["vm-lag-ms"].as<int>());
  settings.delay = std::chrono::milliseconds(flags["delay-ms"].as<int>());
  settings.writes_per_s = flags["quota-writes"].as<double>();
  settings.reads_per_s = flags["quota-reads"].as<double>();
  settings.log = flags["log"].as<std::string>();
  StandIn process("platform");
  PlatformService service(process, settings);
  if (!process.Announce("address", flags["listen"].as<std::string>())) return 1;
  return process.Run([&](const auto& request) { service.OnRequest(request); },
                     [&](auto exchange) { service.OnDisconnect(exchange); });
}

}  // namespace
}  // namespace knapweedstile::standins

int main(int argc, char** argv) {
  cxxopts::Options options("standin_platform");
  options.add_options()  //
      ("vm-lag-ms", "age of what readers of the VM list see",
       cxxopts::value<int>()->default_value("0"))  //
      ("delay-ms", "added to every answer",
       cxxopts::value<int>()->default_value("0"))  //
      ("quota-writes", "writes a second, 0: unlimited",
       cxxopts::value<double>()->default_value("0"))  //
      ("quota-reads", "reads a second, 0: unlimited",
       cxxopts::value<double>()->default_value("0"))  //
      ("log", "file for the history of accepted changes",
       cxxopts::value<std::string>()->default_value(""));
  return knapweedstile::standins::RunProgram(options, argc, argv,
                                             knapweedstile::standins::Serve);
}
