#ifndef KNAPWEEDSTILE_JOBS_RESULT_SEGMENT_H_
#define KNAPWEEDSTILE_JOBS_RESULT_SEGMENT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::jobs {

// The value of a `result` object: for each job a line `@HASH COUNT`, then its
// result lines.
using ResultLinesByJob = std::map<std::string, std::vector<std::string>>;

std::string EncodeResultSegment(const ResultLinesByJob& lines);

// The lines of one job; empty when the segment has none.
std::vector<std::string_view> LinesOfJob(std::string_view segment,
                                         std::string_view job_hash);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_RESULT_SEGMENT_H_
