#include "base/log.h"

#include <fmt/chrono.h>
#include <unistd.h>

#include <chrono>
#include <iterator>

namespace knapweedstile {
namespace {

LogLevel g_least = LogLevel::kInfo;
std::string g_node = "-";  // NOLINT(runtime/string)

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void AppendValue(fmt::memory_buffer& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line.append(value);
    return;
  }
  line.push_back('"');
  for (const char c : value) {
    if (c == '\n') {
      line.append(std::string_view("\\n"));
    } else if (c == '\r') {
      line.append(std::string_view("\\r"));
    } else {
      if (c == '"' || c == '\\') line.push_back('\\');
      line.push_back(c);
    }
  }
  line.push_back('"');
}

}  // namespace

void ConfigureLog(LogLevel least, std::string node) {
  g_least = least;
  g_node = std::move(node);
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < g_least) return;
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line),
                 "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} node={} event={}",
                 fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
                 NameOf(level), g_node, event);
  for (const LogField& field : fields) {
    line.push_back(' ');
    line.append(field.key);
    line.push_back('=');
    AppendValue(line, field.value);
  }
  line.push_back('\n');
  // A log line that cannot be written has nowhere else to go.
  [[maybe_unused]] const auto written =
      ::write(STDERR_FILENO, line.data(), line.size());
}

}  // namespace knapweedstile
