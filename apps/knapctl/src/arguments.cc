#include "words.h"

#include <fmt/core.h>

#include <cstdio>

#include "output.h"

namespace knapweedstile::ctl {

ParsedWords ParseWords(
    const std::string& program, const std::string& text,
    const std::vector<std::string>& words,
    const std::function<void(cxxopts::Options&)>& add_options) {
  cxxopts::Options options(program, text);
  options.allow_unrecognised_options();
  options.add_options()("help", "print this text and exit");
  add_options(options);
  std::vector<const char*> argv{program.c_str()};
  for (const std::string& word : words) argv.push_back(word.c_str());
  // The library reports wrong usage by exceptions; they end here.
  try {
    cxxopts::ParseResult result =
        options.parse(static_cast<int>(argv.size()), argv.data());
    bool unknown_flag = false;
    for (const std::string& word : result.unmatched()) {
      unknown_flag |= word.starts_with("--");
    }
    if (result.count("help") == 0 && !unknown_flag) {
      return {std::move(result), ExitCode::kOk};
    }
    fmt::print(unknown_flag ? stderr : stdout, "{}", options.help());
    return {std::nullopt, unknown_flag ? ExitCode::kUsage : ExitCode::kOk};
  } catch (const cxxopts::exceptions::exception& error) {
    Complain(std::string(error.what()) + "; see --help");
  }
  return {std::nullopt, ExitCode::kUsage};
}

}  // namespace knapweedstile::ctl
