#ifndef KNAPWEEDSTILE_KNAPCTL_LOAD_WORDS_H_
#define KNAPWEEDSTILE_KNAPCTL_LOAD_WORDS_H_

#include "load/load_mix.h"
#include "load/load_summary.h"
#include "words.h"

namespace knapweedstile::ctl {

// The flags that describe the online traffic, shared by `load` and `compare`.
void AddMixOptions(cxxopts::Options& options);
load::LoadMix MixOf(const cxxopts::ParseResult& words);

// The summary as rows of text and as JSON.
std::string ShowSummary(const load::LoadSummary& summary);
std::string SummaryJson(const load::LoadSummary& summary);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_LOAD_WORDS_H_
