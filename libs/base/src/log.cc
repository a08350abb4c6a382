#include "base/log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <iterator>

#include "base/clock.h"
#include "base/log_budget.h"

namespace knapweedstile {
namespace {

LogLevel g_min_level = LogLevel::kInfo;
std::string g_node = "-";  // NOLINT(runtime/string)
int g_descriptor = STDERR_FILENO;
std::atomic<uint64_t> g_dropped{0};

// The lines of a gateway at ten times its usual traffic of about 25 requests a
// second. Warnings and errors have a separate budget, twice as large, so that
// lines about successful requests cannot exhaust it.
constexpr double kLinesPerSecond = 300;
constexpr double kWarningLinesPerSecond = 600;
constexpr double kBurstSeconds = 2;
LogBudget g_info_budget(kLinesPerSecond, kLinesPerSecond* kBurstSeconds);
LogBudget g_warning_budget(kWarningLinesPerSecond,
                           kWarningLinesPerSecond* kBurstSeconds);

bool TryAcquireBudget(LogLevel level) {
  LogBudget& budget =
      level >= LogLevel::kWarning ? g_warning_budget : g_info_budget;
  return budget.TryAcquire(MonotonicNow());
}

// Whether the descriptor accepts bytes without blocking.
bool Writable() {
  pollfd descriptor{.fd = g_descriptor, .events = POLLOUT, .revents = 0};
  return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

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

void ConfigureLog(LogLevel min_level, std::string node, LogStream stream) {
  g_min_level = min_level;
  g_node = std::move(node);
  g_descriptor =
      stream == LogStream::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < g_min_level) return;
  if (!TryAcquireBudget(level)) {
    g_dropped.fetch_add(1, std::memory_order_relaxed);
    return;
  }
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
  if (g_descriptor == STDOUT_FILENO && !Writable()) {
    g_dropped.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const uint64_t dropped = g_dropped.exchange(0, std::memory_order_relaxed);
  if (dropped > 0) {
    fmt::format_to(std::back_inserter(line), " log_dropped={}", dropped);
  }
  line.push_back('\n');
  // A failed write cannot be reported anywhere else.
  [[maybe_unused]] const auto written =
      ::write(g_descriptor, line.data(), line.size());
}

}  // namespace knapweedstile
