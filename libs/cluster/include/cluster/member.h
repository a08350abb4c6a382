#ifndef KNAPWEEDSTILE_CLUSTER_MEMBER_H_
#define KNAPWEEDSTILE_CLUSTER_MEMBER_H_

#include <map>
#include <string>

namespace knapweedstile::cluster {

// Registration of a gateway.
struct Member {
  std::string address;  // "IP:PORT" for messages between gateways
  std::string availability_zone;
  double processor_share = 1;  // cores

  bool operator==(const Member&) const = default;
};

using Members = std::map<std::string, Member>;  // by name

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_MEMBER_H_
