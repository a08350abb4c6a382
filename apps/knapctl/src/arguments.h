#ifndef KNAPWEEDSTILE_KNAPCTL_ARGUMENTS_H_
#define KNAPWEEDSTILE_KNAPCTL_ARGUMENTS_H_

#include <cxxopts.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "exit_code.h"

namespace knapweedstile::ctl {

// Parsed arguments of a command. `result` is empty after --help or a usage
// error; these have then been printed, and the program exits with `code`.
struct ParsedArguments {
  std::optional<cxxopts::ParseResult> result;
  ExitCode code = ExitCode::kOk;
};

// Parses the flags of one command; `text` describes it in --help. Positional
// arguments are in result->unmatched().
ParsedArguments ParseArguments(
    const std::string& program, const std::string& text,
    const std::vector<std::string>& arguments,
    const std::function<void(cxxopts::Options&)>& add_options);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_ARGUMENTS_H_
