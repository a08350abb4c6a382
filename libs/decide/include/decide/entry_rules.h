#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_RULES_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_RULES_H_

namespace knapweedstile::decide {

// Switches for single rules of the entry's decisions. All are on in production;
// they are here for comparison in measurements and so that a test can show that
// it fails without the rule it is about.
struct EntryRules {
  bool fair_queue = true;         // off: one first-in-first-out line
  bool cost_fairness = true;      // off: a long request counts as a short one
  bool headroom = true;           // off: a heavy flow may take the last slot
  bool deadline_refusal = true;   // off: waits until its deadline has passed
  bool least_outstanding = true;  // off: round robin, never held in the entry
  bool two_choices = true;        // off: the least loaded of all
  bool prefix_affinity = true;    // off: the prompt does not matter
  bool bounded_affinity = true;   // off: a prefix stays on its one server
  bool slow_server_ejection = true;
  bool retry_budget = true;  // off: retries without limit
  bool hedges = true;
  bool quarantine = true;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_RULES_H_
