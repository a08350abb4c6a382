#ifndef KNAPWEEDSTILE_GATEWAY_RESOURCE_LIMITS_H_
#define KNAPWEEDSTILE_GATEWAY_RESOURCE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace knapweedstile::gateway {

// How a gateway divides the memory and the descriptors that its VM grants.
// Whatever callers, peers and operators make it hold is bounded by one of these
// shares, so that none of them can end the process.
struct ResourceLimits {
  // Bytes that the connections of each server hold.
  uint64_t caller_bytes = 0;
  uint64_t peer_bytes = 0;
  uint64_t operator_bytes = 0;
  uint64_t metrics_bytes = 0;
  // Bytes of the records of submitted jobs whose fate is not known yet.
  uint64_t submission_bytes = 0;
  // Bytes of all jobs beyond which no further ones are accepted.
  uint64_t job_bytes = 0;

  // Connections that each server accepts.
  uint32_t caller_connections = 0;
  uint32_t peer_connections = 0;
  uint32_t operator_connections = 0;
  uint32_t metrics_connections = 0;
  // Connections to backend servers.
  uint32_t server_connections = 0;
  // Callers' calls of one kind that are in progress and need a connection to
  // another gateway or to the store.
  size_t calls = 0;
};

ResourceLimits DivideResources(uint32_t memory_mb, uint32_t max_job_memory_mb,
                               uint32_t max_descriptors);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RESOURCE_LIMITS_H_
