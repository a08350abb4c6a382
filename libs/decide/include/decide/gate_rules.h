#ifndef KNAPWEEDSTILE_DECIDE_GATE_RULES_H_
#define KNAPWEEDSTILE_DECIDE_GATE_RULES_H_

namespace knapweedstile::decide {

// The rules of the gate, each of which can be taken out. Production leaves all
// of them on; tests and benchmarks switch one off to show what it is worth.
struct GateRules {
  bool preempt_batch = true;  // park batch while an online request waits
  bool refuse_late = true;    // refuse at once what cannot start in time
  bool due_order = true;      // nearer due classes first
  bool fair_shares = true;    // workspaces and callers served least go first
  bool take_turns = true;     // long streams give way to short or urgent items
  bool return_delay = true;   // a slot that online left stays idle for a moment
  bool pace_batch = true;     // one batch prompt at a time, none beside online
  bool yield_stale = true;    // give back items that have waited too long here
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_GATE_RULES_H_
