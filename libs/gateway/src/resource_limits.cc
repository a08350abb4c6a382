#include "resource_limits.h"

#include <algorithm>

namespace knapweedstile::gateway {
namespace {

constexpr uint64_t kBytesPerMegabyte = 1'000'000;
// Largest push of records, with its copies.
constexpr uint64_t kMinPeerBytes = 8'000'000;
// Largest page for operators.
constexpr uint64_t kMinOperatorBytes = 2'000'000;
constexpr uint64_t kMetricsBytes = 1'000'000;
constexpr uint64_t kMinSubmissionBytes = 4'000'000;
// For files, listening sockets and the like.
constexpr uint32_t kReservedDescriptors = 200;
constexpr uint32_t kMaxCallerConnections = 3500;
constexpr uint32_t kMaxPeerConnections = 1000;
constexpr uint32_t kMaxOperatorConnections = 64;
constexpr uint32_t kMaxMetricsConnections = 32;

}  // namespace

ResourceLimits DivideResources(uint32_t memory_mb, uint32_t max_job_memory_mb,
                               uint32_t max_descriptors) {
  const uint64_t memory = memory_mb * kBytesPerMegabyte;
  const uint32_t sockets =
      max_descriptors - std::min(kReservedDescriptors, max_descriptors / 2);
  return {
      .caller_bytes = memory / 4,
      .peer_bytes = std::max(kMinPeerBytes, memory / 16),
      .operator_bytes = std::max(kMinOperatorBytes, memory / 64),
      .metrics_bytes = kMetricsBytes,
      .submission_bytes = std::max(kMinSubmissionBytes, memory / 16),
      .job_bytes = max_job_memory_mb * kBytesPerMegabyte,
      .caller_connections = std::min(kMaxCallerConnections, sockets / 2),
      .peer_connections = std::min(kMaxPeerConnections, sockets / 6),
      .operator_connections = std::min(kMaxOperatorConnections, sockets / 16),
      .metrics_connections = std::min(kMaxMetricsConnections, sockets / 32),
      .server_connections = sockets / 3,
      .calls = sockets / 16};
}

}  // namespace knapweedstile::gateway
