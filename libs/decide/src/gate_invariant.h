#ifndef KNAPWEEDSTILE_DECIDE_SRC_GATE_INVARIANT_H_
#define KNAPWEEDSTILE_DECIDE_SRC_GATE_INVARIANT_H_

#include <cstdio>
#include <cstdlib>

namespace knapweedstile::decide {

// Stops the process on a broken invariant: going on would break a promise to
// callers (an answer lost or given twice) without anyone seeing it.
inline void CheckInvariant(bool holds, const char* what) noexcept {
  if (holds) return;
  std::fprintf(stderr, "invariant broken: %s\n", what);
  std::abort();
}

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SRC_GATE_INVARIANT_H_
