#include "jobs/result_buffer.h"

#include <utility>

namespace knapweedstile::jobs {

void ResultBuffer::Add(ItemResult result, TimePoint now) {
  if (results_.empty()) oldest_ = now;
  bytes_ += result.line.size();
  results_.push_back(std::move(result));
}

std::vector<ItemResult> ResultBuffer::TakeBatch(uint32_t max_items,
                                                size_t max_bytes,
                                                TimePoint now) {
  std::vector<ItemResult> batch;
  size_t batch_bytes = 0;
  while (!results_.empty() && batch.size() < max_items) {
    const size_t size = results_.front().line.size();
    if (!batch.empty() && batch_bytes + size > max_bytes) break;
    batch_bytes += size;
    batch.push_back(std::move(results_.front()));
    results_.pop_front();
  }
  bytes_ -= batch_bytes;
  oldest_ = now;
  return batch;
}

void ResultBuffer::Clear() {
  results_.clear();
  bytes_ = 0;
}

}  // namespace knapweedstile::jobs
