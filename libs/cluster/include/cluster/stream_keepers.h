#ifndef KNAPWEEDSTILE_CLUSTER_STREAM_KEEPERS_H_
#define KNAPWEEDSTILE_CLUSTER_STREAM_KEEPERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/member.h"

namespace knapweedstile::cluster {

// Addresses of the gateways that keep the origin of a stream besides the
// gateway `self`: two in its availability zone and two elsewhere, by rendezvous
// hashing. A caller that returns in the zone finds the same ones at any
// gateway; one that returns in another zone finds at least those elsewhere that
// both zones share.
std::vector<std::string> StreamKeepers(uint64_t stream, const Members& members,
                                       const std::string& self);

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_STREAM_KEEPERS_H_
