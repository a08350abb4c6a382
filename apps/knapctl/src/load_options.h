#ifndef KNAPWEEDSTILE_KNAPCTL_LOAD_OPTIONS_H_
#define KNAPWEEDSTILE_KNAPCTL_LOAD_OPTIONS_H_

#include "arguments.h"
#include "load/load_mix.h"
#include "load/load_summary.h"

namespace knapweedstile::ctl {

// Flags that describe the online traffic, shared by `load` and `compare`.
void AddMixOptions(cxxopts::Options& options);
load::LoadMix ToLoadMix(const cxxopts::ParseResult& arguments);

// Formats the summary as a text table or as JSON.
std::string SummaryText(const load::LoadSummary& summary);
std::string SummaryJson(const load::LoadSummary& summary);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_LOAD_OPTIONS_H_
