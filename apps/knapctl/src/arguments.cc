#include "arguments.h"

#include <fmt/core.h>

#include <cstdio>

#include "output.h"

namespace knapweedstile::ctl {

ParsedArguments ParseArguments(
    const std::string& program, const std::string& text,
    const std::vector<std::string>& arguments,
    const std::function<void(cxxopts::Options&)>& add_options) {
  cxxopts::Options options(program, text);
  options.allow_unrecognised_options();
  options.add_options()("help", "print this text and exit");
  add_options(options);
  std::vector<const char*> argv{program.c_str()};
  for (const std::string& argument : arguments)
    argv.push_back(argument.c_str());
  // cxxopts reports usage errors by exceptions; they are handled here.
  try {
    cxxopts::ParseResult result =
        options.parse(static_cast<int>(argv.size()), argv.data());
    bool unknown_flag = false;
    for (const std::string& argument : result.unmatched()) {
      unknown_flag |= argument.starts_with("--");
    }
    if (result.count("help") == 0 && !unknown_flag) {
      return {std::move(result), ExitCode::kOk};
    }
    fmt::print(unknown_flag ? stderr : stdout, "{}", options.help());
    return {std::nullopt, unknown_flag ? ExitCode::kUsage : ExitCode::kOk};
  } catch (const cxxopts::exceptions::exception& error) {
    PrintError(std::string(error.what()) + "; see --help");
  }
  return {std::nullopt, ExitCode::kUsage};
}

}  // namespace knapweedstile::ctl
