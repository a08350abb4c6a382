#ifndef KNAPWEEDSTILE_ADMISSION_SLOT_FLOW_H_
#define KNAPWEEDSTILE_ADMISSION_SLOT_FLOW_H_

namespace knapweedstile::admission {

// Slots of a service that become free for this gateway while all are in use,
// and the requests that come for them.
struct SlotFlow {
  double freed_per_second = 0;  // zero: none, or too little is known
  double offered_per_second = 0;
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_SLOT_FLOW_H_
