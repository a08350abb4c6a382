#include "jobs/result_segment.h"

#include <fmt/format.h>

#include <charconv>

namespace knapweedstile::jobs {

namespace {

// Of a heading beside the hash; an estimate.
constexpr size_t kHeadingBytes = 16;

// Takes the text up to the next line's end off `rest`.
std::string_view TakeLine(std::string_view& rest) {
  const size_t end = std::min(rest.find('\n'), rest.size());
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return line;
}

// The count of a heading `@HASH COUNT`, zero when it is none.
size_t CountOf(std::string_view heading) {
  const size_t space = heading.find(' ');
  if (space == std::string_view::npos) return 0;
  size_t count = 0;
  std::from_chars(heading.data() + space + 1, heading.data() + heading.size(),
                  count);
  return count;
}

}  // namespace

std::string EncodeResultSegment(const ResultLinesByJob& lines) {
  size_t bytes = 0;
  for (const auto& [hash, of_job] : lines) {
    bytes += hash.size() + kHeadingBytes;
    for (const std::string& line : of_job) bytes += line.size() + 1;
  }
  std::string segment;
  segment.reserve(bytes);
  for (const auto& [hash, of_job] : lines) {
    segment += fmt::format("@{} {}\n", hash, of_job.size());
    for (const std::string& line : of_job) {
      segment += line;
      segment += '\n';
    }
  }
  return segment;
}

std::vector<std::string_view> LinesOfJob(std::string_view segment,
                                         std::string_view job_hash) {
  std::vector<std::string_view> lines;
  while (!segment.empty()) {
    const std::string_view heading = TakeLine(segment);
    const size_t count = CountOf(heading);
    const bool wanted = heading.starts_with('@') &&
                        heading.substr(1, heading.find(' ') - 1) == job_hash;
    for (size_t i = 0; i < count && !segment.empty(); ++i) {
      const std::string_view line = TakeLine(segment);
      if (wanted) lines.push_back(line);
    }
  }
  return lines;
}

}  // namespace knapweedstile::jobs
