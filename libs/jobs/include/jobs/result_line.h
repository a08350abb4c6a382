#ifndef KNAPWEEDSTILE_JOBS_RESULT_LINE_H_
#define KNAPWEEDSTILE_JOBS_RESULT_LINE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile::jobs {

// Largest response that is kept; an item with a longer one has failed.
inline constexpr size_t kMaxResponseBytes = 768 << 10;

// One result as callers read it: a line of JSON, without the line's end.
// `response` is JSON of any form; what is not JSON is kept as a string.
std::string CompletedLine(uint32_t index, std::string_view custom_id,
                          std::string_view response, uint32_t attempts);
std::string FailedLine(uint32_t index, std::string_view custom_id,
                       std::string_view code, std::string_view message,
                       uint32_t attempts);
std::string CancelledLine(uint32_t index, std::string_view custom_id);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_RESULT_LINE_H_
