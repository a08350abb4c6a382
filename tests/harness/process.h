#ifndef KNAPWEEDSTILE_HARNESS_PROCESS_H_
#define KNAPWEEDSTILE_HARNESS_PROCESS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "harness/scratch_folder.h"

namespace knapweedstile::harness {

// The programs that a test starts.
enum class Program { kKnapweedstile, kKnapctl };

// Path of `program` in the build folder.
std::string PathOf(Program program);

// A child process whose output goes to files in `folder`. It is killed when
// this object is destroyed or the test's thread ends.
class Process {
 public:
  // `environment` is added to the environment of the test.
  Process(const ScratchFolder& folder, const std::string& name, Program program,
          const std::vector<std::string>& arguments,
          const std::map<std::string, std::string>& environment = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Waits until the process has printed `KEY=VALUE` and returns the value; an
  // empty string if the process ended first or the wait timed out.
  std::string WaitForValue(const std::string& key);
  // Waits until the process has ended; false at the timeout.
  bool WaitForEnd();
  bool running();
  int id() const;
  // Valid after the end of the process; 128 + N if signal N ended it.
  int exit_code();
  std::string output() const;
  std::string errors() const;

  void Signal(int number);
  void Terminate();  // SIGTERM: graceful shutdown
  void Kill();       // SIGKILL, then waits for the process to end
  void Pause();      // SIGSTOP
  void Resume();     // SIGCONT

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_PROCESS_H_
