#include "harness/process.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <thread>

#include "base/clock.h"

namespace knapweedstile::harness {
namespace {

namespace bp = boost::process;

// Far longer than any step takes, so that only a failed test reaches it.
constexpr std::chrono::seconds kTimeout{60};
constexpr std::chrono::milliseconds kPollInterval{5};
constexpr int kSignalExitBase = 128;

template <typename Done>
bool PollUntil(Done done) {
  const TimePoint deadline = MonotonicNow() + kTimeout;
  while (!done()) {
    if (MonotonicNow() > deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// The value of the first word `KEY=VALUE` in a complete line.
std::string FindValue(const std::string& text, const std::string& key) {
  std::istringstream words(text.substr(0, text.rfind('\n') + 1));
  for (std::string word; words >> word;) {
    if (word.starts_with(key + "=")) return word.substr(key.size() + 1);
  }
  return {};
}

// The environment of the test with the variables of `added`.
bp::environment MergedEnvironment(
    const std::map<std::string, std::string>& added) {
  bp::environment merged = boost::this_process::environment();
  for (const auto& [name, value] : added) merged[name] = value;
  return merged;
}

}  // namespace

std::string PathOf(Program program) {
  const std::string build = KNAP_BINARY_DIR;
  switch (program) {
    case Program::kKnapweedstile: {
      // Selects another build, for example one with sanitizers or with a check
      // disabled.
      const char* other = std::getenv("KNAP_NODE_PROGRAM");
      return other ? other : build + "/apps/knapweedstile/knapweedstile";
    }
    case Program::kKnapctl:
      return build + "/apps/knapctl/knapctl";
  }
  return {};
}

class Process::Impl {
 public:
  Impl(const std::string& out_path, const std::string& err_path,
       const std::string& program, const std::vector<std::string>& arguments,
       const std::map<std::string, std::string>& environment)
      : out(out_path),
        err(err_path),
        // limit_handles: a child that inherited the test's sockets would keep
        // them open after the test has closed them.
        child(
            program, bp::args(arguments), bp::std_in<bp::null, bp::std_out> out,
            bp::std_err > err, bp::limit_handles,
            MergedEnvironment(environment),
            bp::extend::on_exec_setup = [](auto&) {
              ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            }) {}

  std::string out;
  std::string err;
  bp::child child;
};

Process::Process(const ScratchFolder& folder, const std::string& name,
                 Program program, const std::vector<std::string>& arguments,
                 const std::map<std::string, std::string>& environment)
    : impl_(std::make_unique<Impl>(folder.File(name + ".out"),
                                   folder.File(name + ".err"), PathOf(program),
                                   arguments, environment)) {}

Process::~Process() {
  if (running()) Kill();
}

std::string Process::WaitForValue(const std::string& key) {
  std::string value;
  PollUntil([&] {
    value = FindValue(output(), key);
    return !value.empty() || !running();
  });
  return value;
}

bool Process::WaitForEnd() {
  return PollUntil([this] { return !running(); });
}

bool Process::running() {
  std::error_code ec;
  return impl_->child.running(ec);
}

int Process::id() const { return impl_->child.id(); }

int Process::exit_code() {
  const int status = impl_->child.native_exit_code();
  return WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status)
                             : WEXITSTATUS(status);
}

std::string Process::output() const { return ReadFile(impl_->out); }

std::string Process::errors() const { return ReadFile(impl_->err); }

void Process::Signal(int number) {
  if (running()) ::kill(impl_->child.id(), number);
}

void Process::Terminate() { Signal(SIGTERM); }

void Process::Kill() {
  Signal(SIGKILL);
  WaitForEnd();
}

void Process::Pause() { Signal(SIGSTOP); }

void Process::Resume() { Signal(SIGCONT); }

}  // namespace knapweedstile::harness
