#include "store/list_cursor.h"

namespace knapweedstile::gateway {

void ListCursor::Begin() {
  if (complete_) after_.clear();
  began_after_ = after_;
  past_last_name_ = complete_ = false;
  names_.clear();
}

void ListCursor::AddPage(const std::vector<platform::StoredObject>& page,
                         bool more) {
  for (const platform::StoredObject& object : page) names_.insert(object.name);
  if (more && !page.empty()) {
    after_ = page.back().name;
    complete_ = past_last_name_ && after_ >= began_after_;
    return;
  }
  after_.clear();
  complete_ = past_last_name_ || began_after_.empty();
  past_last_name_ = true;
}

void ListCursor::AddChange(const platform::StoredObject& object) {
  if (object.deleted) {
    names_.erase(object.name);
  } else {
    names_.insert(object.name);
  }
}

}  // namespace knapweedstile::gateway
