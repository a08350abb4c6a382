#include <fmt/core.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_process.h"
#include "gateway/gateway_settings.h"
#include "settings/schema.h"

// Server program of the system: `knapweedstile ROLE --config FILE`.
namespace knapweedstile {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 4;

struct Arguments {
  std::string role;
  std::string config;
  bool check = false;
  bool reference = false;
};

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "knapweedstile",
      "One node of the serving system.\n\n"
      "  gateway  routes requests to backend servers, runs batch jobs\n"
      "  store    runs on a VM with a disk; reports it as empty on request\n\n"
      "Exit codes: 0 stopped gracefully, 2 usage error, 3 cannot listen, "
      "4 invalid settings.\n");
  options.positional_help("gateway|store");
  options.add_options()("role", "gateway or store",
                        cxxopts::value<std::string>())(
      "config", "settings file (TOML; every key: docs/settings.md)",
      cxxopts::value<std::string>(),
      "FILE")("check", "validate the settings file and exit")(
      "reference", "print the table of settings keys and exit")(
      "help", "print this text and exit");
  options.parse_positional({"role"});
  return options;
}

int ReportErrors(const std::vector<settings::SettingError>& errors) {
  for (const settings::SettingError& error : errors) {
    fmt::print(stderr, "{}\n", error.ToString());
  }
  return kExitSettings;
}

// Binds, loads and validates the settings of one role, then runs it.
template <typename Settings>
int RunRole(const Arguments& arguments,
            void (*bind)(settings::Schema&, Settings*),
            int (*run)(const Settings&)) {
  Settings values;
  settings::Schema schema;
  bind(schema, &values);
  if (arguments.reference) {
    fmt::print("{}", schema.Reference());
    return kExitOk;
  }
  if (arguments.config.empty()) {
    fmt::print(stderr, "--config FILE is required\n");
    return kExitUsage;
  }
  const auto errors = schema.Load(arguments.config);
  if (!errors.empty()) return ReportErrors(errors);
  if (arguments.check) {
    fmt::print("{}: valid\n", arguments.config);
    return kExitOk;
  }
  return run(values);
}

int Run(const Arguments& arguments) {
  if (arguments.role == "gateway") {
    return RunRole<gateway::GatewaySettings>(
        arguments, gateway::BindGatewaySettings, gateway::RunGateway);
  }
  if (arguments.role == "store") {
    return RunRole<gateway::GatewaySettings>(
        arguments, gateway::BindGatewaySettings, gateway::RunStore);
  }
  fmt::print(stderr, "unknown role '{}'; see --help\n", arguments.role);
  return kExitUsage;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  Arguments arguments;
  // cxxopts reports usage errors by exceptions; they are handled here.
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      fmt::print("{}", options.help());
      return kExitOk;
    }
    if (parsed.count("role") != 0) {
      arguments.role = parsed["role"].as<std::string>();
    }
    if (parsed.count("config") != 0) {
      arguments.config = parsed["config"].as<std::string>();
    }
    arguments.check = parsed.count("check") != 0;
    arguments.reference = parsed.count("reference") != 0;
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "{}; see --help\n", error.what());
    return kExitUsage;
  }
  return Run(arguments);
}

}  // namespace
}  // namespace knapweedstile

int main(int argc, char** argv) { return knapweedstile::Main(argc, argv); }
