#ifndef KNAPWEEDSTILE_KNAPCTL_EXIT_CODE_H_
#define KNAPWEEDSTILE_KNAPCTL_EXIT_CODE_H_

namespace knapweedstile::ctl {

// The exit codes of every command (docs/operators/knapctl.md).
enum class ExitCode {
  kOk = 0,
  kFailed = 1,       // the other side refused or failed
  kUsage = 2,        // wrong words on the command line
  kConflict = 3,     // somebody else changed the object meanwhile
  kNotFound = 4,     // no such object or job
  kUnavailable = 5,  // the other side cannot be reached
  kInvalid = 6,      // the object or file is not valid
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_EXIT_CODE_H_
