#include "platform/memory_platform.h"

#include <algorithm>
#include <variant>

namespace knapweedstile::platform {

namespace {

constexpr Duration kThrottleRetryAfter = std::chrono::milliseconds(100);

bool TakeOne(uint32_t& count) noexcept {
  if (count == 0) return false;
  --count;
  return true;
}

}  // namespace

StoreAnswer MemoryPlatform::Execute(const StoreRequest& request) {
  StoreAnswer answer;
  answer.token = request.token;
  if (Refused(answer)) return answer;
  answer.outcome = StoreOutcome::kOk;
  std::visit([&](const auto& call) { Perform(call, answer); }, request.call);
  return answer;
}

const StoredObject* MemoryPlatform::Find(std::string_view kind,
                                         std::string_view name) const {
  const auto it = objects_.find(Key(kind, name));
  if (it == objects_.end() || it->second.deleted) return nullptr;
  return &it->second;
}

std::vector<const StoredObject*> MemoryPlatform::All(
    std::string_view kind) const {
  std::vector<const StoredObject*> found;
  for (auto it = objects_.lower_bound(Key(kind, ""));
       it != objects_.end() && it->first.first == kind; ++it) {
    if (!it->second.deleted) found.push_back(&it->second);
  }
  return found;
}

bool MemoryPlatform::Refused(StoreAnswer& answer) {
  if (outage_) {
    answer.outcome = StoreOutcome::kNotSent;
    return true;
  }
  if (TakeOne(throttle_)) {
    answer.outcome = StoreOutcome::kThrottled;
    answer.retry_after = kThrottleRetryAfter;
    return true;
  }
  return false;
}

void MemoryPlatform::Perform(const ReadRequest& call, StoreAnswer& answer) {
  ++counts_.reads;
  const StoredObject* object = Find(call.kind, call.name);
  if (object == nullptr) {
    answer.outcome = StoreOutcome::kNotFound;
    return;
  }
  counts_.bytes_read += object->value.size();
  answer.version = object->version;
  answer.objects.push_back(*object);
}

void MemoryPlatform::Perform(const WriteRequest& call, StoreAnswer& answer) {
  ++counts_.writes;
  counts_.bytes_written += call.value.size();
  if (call.value.size() > kMaxValueBytes) {
    answer.outcome = StoreOutcome::kRejected;
    return;
  }
  if (LosesRequest(answer)) return;
  const Key key(call.kind, call.name);
  const StoredObject* present = Find(call.kind, call.name);
  if (present != nullptr && TakeOne(inject_conflicts_)) {
    Change(key, present->value, false);
  }
  const uint64_t version = present == nullptr ? 0 : present->version;
  if (version != call.if_version) {
    ++counts_.conflicts;
    answer.outcome = StoreOutcome::kConflict;
    answer.version = version;
    return;
  }
  Change(key, call.value, false);
  FinishWrite(answer);
}

void MemoryPlatform::Perform(const DeleteRequest& call, StoreAnswer& answer) {
  ++counts_.deletes;
  if (LosesRequest(answer)) return;
  const StoredObject* present = Find(call.kind, call.name);
  if (present == nullptr) {
    answer.outcome = StoreOutcome::kNotFound;
    return;
  }
  if (present->version != call.if_version) {
    ++counts_.conflicts;
    answer.outcome = StoreOutcome::kConflict;
    answer.version = present->version;
    return;
  }
  Change(Key(call.kind, call.name), "", true);
  FinishWrite(answer);
}

void MemoryPlatform::Perform(const ListRequest& call, StoreAnswer& answer) {
  ++counts_.lists;
  Collect(call, answer);
}

void MemoryPlatform::Perform(const WatchRequest& call, StoreAnswer& answer) {
  ++counts_.watches;
  for (const std::string& kind : call.kinds) {
    ListRequest list;
    list.kind = kind;
    list.after = call.after;
    list.limit = UINT32_MAX;
    Collect(list, answer);
  }
  std::sort(answer.objects.begin(), answer.objects.end(),
            [](const StoredObject& a, const StoredObject& b) {
              return a.version < b.version;
            });
}

void MemoryPlatform::Perform(const VmListRequest& /*call*/,
                             StoreAnswer& answer) {
  ++counts_.vm_lists;
  answer.vms = vms_;
}

void MemoryPlatform::Change(const Key& key, std::string value, bool deleted) {
  StoredObject& object = objects_[key];
  if (object.version != 0) history_.erase(object.version);
  object.kind = key.first;
  object.name = key.second;
  object.version = ++revision_;
  object.deleted = deleted;
  object.value = std::move(value);
  history_[object.version] = key;
}

void MemoryPlatform::Collect(const ListRequest& call, StoreAnswer& answer) {
  answer.revision = revision_;
  uint32_t count = 0;
  for (auto it = history_.upper_bound(call.after); it != history_.end(); ++it) {
    const auto& [kind, name] = it->second;
    if (kind != call.kind || !name.starts_with(call.prefix)) continue;
    const StoredObject& object = objects_.at(it->second);
    if (object.deleted && call.after == 0) continue;
    if (count == call.limit) {
      answer.more = true;
      answer.revision = answer.objects.back().version;
      return;
    }
    ++count;
    answer.objects.push_back(object);
    if (!call.values) answer.objects.back().value.clear();
    counts_.bytes_read += answer.objects.back().value.size();
  }
}

bool MemoryPlatform::LosesRequest(StoreAnswer& answer) {
  if (!TakeOne(lose_requests_)) return false;
  answer.outcome = StoreOutcome::kUnknown;
  return true;
}

void MemoryPlatform::FinishWrite(StoreAnswer& answer) {
  if (TakeOne(lose_answers_)) {
    answer.outcome = StoreOutcome::kUnknown;
    return;
  }
  answer.version = revision_;
}

}  // namespace knapweedstile::platform
