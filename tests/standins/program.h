#ifndef KNAPWEEDSTILE_STANDINS_PROGRAM_H_
#define KNAPWEEDSTILE_STANDINS_PROGRAM_H_

#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

namespace knapweedstile::standins {

constexpr int kUsageExitCode = 2;

// The part of main() that all stand-ins share: `--listen` and `--help`, and a
// wrong flag ends the process with a message. `serve` gets the parsed flags and
// returns the exit code.
template <typename Serve>
int RunProgram(cxxopts::Options& options, int argc, char** argv, Serve serve) {
  options.add_options()("help", "this text")(
      "listen", "IP:PORT; port 0 picks one",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return serve(flags);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kUsageExitCode;
  }
}

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_PROGRAM_H_
