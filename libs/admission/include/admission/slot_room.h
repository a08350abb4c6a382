#ifndef KNAPWEEDSTILE_ADMISSION_SLOT_ROOM_H_
#define KNAPWEEDSTILE_ADMISSION_SLOT_ROOM_H_

#include <cstdint>

namespace knapweedstile::admission {

// The slots of a service as one gateway knows them.
struct SlotRoom {
  uint32_t slots = 0;
  uint32_t free = 0;  // or taken by batch items, which give way
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_SLOT_ROOM_H_
