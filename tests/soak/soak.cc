// Runs gateway processes under random faults; see README.md in this folder.

#include <fmt/core.h>

#include <cstdlib>
#include <cxxopts.hpp>

#include "soak_run.h"

namespace knapweedstile::soak {
namespace {

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "knap_soak", "Runs gateways under random faults and checks promises.");
  options.add_options()("seed", "seed of the fault schedule and the traffic",
                        cxxopts::value<uint64_t>())(
      "size", "small, few-dozen or limit",
      cxxopts::value<std::string>()->default_value("small"))(
      "slack-ms", "added to time bounds to allow for a busy machine",
      cxxopts::value<int64_t>()->default_value("400"))("help", "this text");
  // cxxopts reports invalid flags by exceptions.
  try {
    const auto flags = options.parse(argc, argv);
    const auto size = ParseEnum<SizeName>(flags["size"].as<std::string>());
    if (flags.count("help") != 0 || flags.count("seed") == 0 || !size) {
      fmt::print("{}", options.help());
      return flags.count("help") != 0 ? 0 : kExitUsage;
    }
    const auto seed = flags["seed"].as<uint64_t>();
    SoakRun run(seed, SizeOf(*size),
                std::chrono::milliseconds(flags["slack-ms"].as<int64_t>()));
    if (run.Run()) return 0;
    // Keeps the folder with the processes' logs and prints its path.
    ::setenv("KNAP_KEEP", "1", 1);
    fmt::print("again: knap_soak --seed {} --size {}\n", seed, NameOf(*size));
    return kExitBroken;
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitUsage;
  }
}

}  // namespace
}  // namespace knapweedstile::soak

int main(int argc, char** argv) {
  return knapweedstile::soak::Main(argc, argv);
}
