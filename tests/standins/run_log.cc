#include "run_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"

namespace knapweedstile::standins {

RunLog::RunLog(const std::string& path) {
  if (path.empty()) return;
  file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file_ < 0) LogError("run_log_failed", {{"path", path}});
}

RunLog::~RunLog() {
  if (file_ >= 0) ::close(file_);
}

void RunLog::Append(boost::json::object line) {
  if (file_ < 0) return;
  line["t"] = WallClockNanos();
  const std::string text = boost::json::serialize(line) + "\n";
  if (::write(file_, text.data(), text.size()) < 0) {
    LogError("run_log_failed", {{"bytes", text.size()}});
  }
}

}  // namespace knapweedstile::standins
