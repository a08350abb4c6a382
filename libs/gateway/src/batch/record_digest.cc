#include "batch/record_digest.h"

#include <algorithm>

#include "batch/job_records.h"

namespace knapweedstile::gateway {

StoreNews DigestOf(const StoreNews& news) {
  StoreNews digest = news;
  for (platform::StoredObject& object : digest.objects) {
    const RecordType type = ParseRecordName(object.name).type;
    if (type == RecordType::kJob || type == RecordType::kSegment) {
      object.value.clear();
    }
  }
  return digest;
}

bool KnowsAll(const serving::JobBook& book, const StoreNews& digest) {
  return std::all_of(digest.objects.begin(), digest.objects.end(),
                     [&](const auto& object) {
                       if (object.deleted) return true;
                       const RecordName name = ParseRecordName(object.name);
                       if (name.type == RecordType::kJob)
                         return book.Find(name.id) != nullptr;
                       if (name.type != RecordType::kSegment) return true;
                       return book.HasSegment(name.id, name.segment);
                     });
}

}  // namespace knapweedstile::gateway
