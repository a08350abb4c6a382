#ifndef KNAPWEEDSTILE_KNAPCTL_WORDS_H_
#define KNAPWEEDSTILE_KNAPCTL_WORDS_H_

#include <cxxopts.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "exit_code.h"

namespace knapweedstile::ctl {

// A command's own words, or the code to exit with: after --help and after wrong
// usage, which have then been printed.
struct ParsedWords {
  std::optional<cxxopts::ParseResult> result;
  ExitCode code = ExitCode::kOk;
};

// Words that are no flags are in result->unmatched().
ParsedWords ParseWords(
    const std::string& program, const std::string& text,
    const std::vector<std::string>& words,
    const std::function<void(cxxopts::Options&)>& add_options);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_WORDS_H_
