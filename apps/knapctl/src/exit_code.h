#ifndef KNAPWEEDSTILE_KNAPCTL_EXIT_CODE_H_
#define KNAPWEEDSTILE_KNAPCTL_EXIT_CODE_H_

namespace knapweedstile::ctl {

// Exit codes common to all commands (docs/operators/knapctl.md).
enum class ExitCode {
  kOk = 0,
  kFailed = 1,       // the request was rejected or failed
  kUsage = 2,        // invalid command line
  kConflict = 3,     // the object has changed since it was read
  kNotFound = 4,     // no such object or job
  kUnavailable = 5,  // the gateway cannot be reached
  kInvalid = 6,      // the object or file is invalid
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_EXIT_CODE_H_
