#ifndef KNAPWEEDSTILE_JOBS_ITEM_TICKET_H_
#define KNAPWEEDSTILE_JOBS_ITEM_TICKET_H_

#include "base/id.h"

namespace knapweedstile::jobs {

// One handing-out of an item by a shard owner. Exactly one outcome is reported
// for each; a second one is dropped and counted.
using ItemTicket = Id<struct ItemTicketTag>;

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_ITEM_TICKET_H_
