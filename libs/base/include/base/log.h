#ifndef KNAPWEEDSTILE_BASE_LOG_H_
#define KNAPWEEDSTILE_BASE_LOG_H_

#include <fmt/format.h>

#include <array>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/enum_names.h"

namespace knapweedstile {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

template <>
inline constexpr std::array<std::string_view, 4> kEnumNames<LogLevel> = {
    "debug", "info", "warning", "error"};

// One field of a log line. Empty values and those with white space, quotes, '='
// or backslashes are quoted.
struct LogField {
  template <typename T>
  LogField(std::string_view name, const T& content)
      : key(name), value(fmt::format("{}", content)) {}

  std::string_view key;
  std::string value;
};

// Where log lines are written.
enum class LogStream { kStandardError, kStandardOutput };

// Sets the lowest level that is written and the node name that every line
// contains. Call once, before threads start.
void ConfigureLog(LogLevel min_level, std::string node,
                  LogStream stream = LogStream::kStandardError);

// Writes one line `time=... level=... node=... event=NAME key=value...` with a
// single write, so that lines do not interleave.
//
// Guards against a stalled log reader, which would block the process at its
// next line, and against bursts of lines that take the processor time of
// requests. A line that cannot be written at once to standard output, or that
// exceeds the budget of its level (log_budget.h), is dropped; the next line
// reports the number of dropped ones (`log_dropped`). Call from one thread.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

inline void LogInfo(std::string_view event,
                    std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kInfo, event, fields);
}
inline void LogWarning(std::string_view event,
                       std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kWarning, event, fields);
}
inline void LogError(std::string_view event,
                     std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kError, event, fields);
}
inline void LogDebug(std::string_view event,
                     std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kDebug, event, fields);
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_LOG_H_
