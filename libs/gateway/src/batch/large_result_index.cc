#include "batch/large_result_index.h"

#include "batch/job_records.h"

namespace knapweedstile::gateway {

void LargeResultIndex::Add(const std::string& job, const std::string& marker) {
  markers_[job].insert(marker);
}

void LargeResultIndex::Remove(const std::string& job,
                              const std::string& marker) {
  const auto found = markers_.find(job);
  if (found == markers_.end()) return;
  found->second.erase(marker);
  if (found->second.empty()) markers_.erase(found);
}

std::vector<std::string> LargeResultIndex::Take(const std::string& job) {
  std::vector<std::string> names;
  const auto found = markers_.extract(job);
  if (found.empty()) return names;
  for (const std::string& marker : found.mapped()) {
    const RecordName name = ParseRecordName(marker);
    for (uint32_t part = 0; part < name.parts; ++part) {
      names.push_back(PartName(job, name.hash, part));
    }
  }
  names.insert(names.end(), found.mapped().begin(), found.mapped().end());
  return names;
}

}  // namespace knapweedstile::gateway
