#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_INVARIANT_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_INVARIANT_H_

#include <cstdio>
#include <cstdlib>

namespace knapweedstile::decide {

// Stops the process when an invariant of the entry's decisions is broken: going
// on could answer a request twice or never. Compiled into every build, since
// the randomised runs and the real processes both rely on it.
inline void RequireInvariant(bool holds, const char* what) {
  if (holds) return;
  std::fputs("entry invariant broken: ", stderr);
  std::fputs(what, stderr);
  std::fputc('\n', stderr);
  std::abort();
}

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_INVARIANT_H_
