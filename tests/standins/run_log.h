#ifndef KNAPWEEDSTILE_STANDINS_RUN_LOG_H_
#define KNAPWEEDSTILE_STANDINS_RUN_LOG_H_

#include <boost/json/object.hpp>
#include <string>

namespace knapweedstile::standins {

// A file of JSON lines that outlives the process: each line is one write, so
// that a process that is killed leaves only whole lines.
class RunLog {
 public:
  // An empty path logs nothing.
  explicit RunLog(const std::string& path);
  ~RunLog();
  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  // Appends `line` with the wall clock time under "t".
  void Append(boost::json::object line);

 private:
  int file_ = -1;
};

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_RUN_LOG_H_
