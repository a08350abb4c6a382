// Stands in for the platform's object API and VM list.

#include <cxxopts.hpp>
#include <iostream>

#include "platform_service.h"

int main(int argc, char** argv) {
  using namespace knapweedstile::
      standins;  // NOLINT(google-build-using-namespace)
  cxxopts::Options options("standin_platform");
  options.add_options()  //
      ("listen", "IP:PORT",
       cxxopts::value<std::string>()->default_value("127.0.0.1:0"))  //
      ("vm-lag-ms", "age of what readers of the VM list see",
       cxxopts::value<int>()->default_value("0"))  //
      ("delay-ms", "added to every answer",
       cxxopts::value<int>()->default_value("0"))  //
      ("quota-writes", "writes a second, 0: unlimited",
       cxxopts::value<double>()->default_value("0"))  //
      ("quota-reads", "reads a second, 0: unlimited",
       cxxopts::value<double>()->default_value("0"))  //
      ("log", "file for the history of accepted changes",
       cxxopts::value<std::string>()->default_value(""))  //
      ("help", "this text");
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    PlatformSettings settings;
    settings.vm_lag = std::chrono::milliseconds(flags["vm-lag-ms"].as<int>());
    settings.delay = std::chrono::milliseconds(flags["delay-ms"].as<int>());
    settings.writes_per_s = flags["quota-writes"].as<double>();
    settings.reads_per_s = flags["quota-reads"].as<double>();
    settings.log = flags["log"].as<std::string>();
    StandIn process("platform");
    PlatformService service(process, settings);
    return process.Run(
        flags["listen"].as<std::string>(),
        [&](const auto& request) { service.OnRequest(request); },
        [&](auto exchange) { service.OnDisconnect(exchange); });
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
